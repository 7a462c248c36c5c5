"""The link of one machine, as a proxy before the control nodes: a bandwidth each way and small windows."""

import asyncio
import time

WINDOW = 64 * 1024
BURST_S = 0.03  # what a late timer may catch up, so that the link is no slower than it should be


class Link:
    """Carries what a scheduler and the control nodes say to each other at so many bytes a second each way."""

    def __init__(self, record, bytes_per_s):
        self.record = record
        self.rate = bytes_per_s
        self.piece = int(min(16384, max(1460, bytes_per_s * 0.004)))
        self.free_at = {"in": 0.0, "out": 0.0}
        self.carried = {"in": 0, "out": 0}
        self.opened = 0
        self.servers = []

    async def stand_before(self, ip, port, target_port):
        async def accept(reader, writer):
            self.opened += 1
            try:
                there, away = await asyncio.open_connection(ip, target_port, limit=WINDOW)
            except OSError:
                writer.transport.abort()
                return
            both = [
                asyncio.ensure_future(self.carry(reader, away, "out")),
                asyncio.ensure_future(self.carry(there, writer, "in")),
            ]
            try:
                await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            except asyncio.CancelledError:
                pass
            finally:
                for task in both:
                    task.cancel()
                for end in (writer, away):
                    end.transport.abort()

        self.servers.append(await asyncio.start_server(accept, ip, port, limit=WINDOW))

    async def carry(self, reader, writer, way):
        writer.transport.set_write_buffer_limits(high=WINDOW)
        try:
            while True:
                data = await reader.read(self.piece)
                if not data:
                    return
                # One piece after the other on the wire, whichever connection it belongs to.
                now = time.monotonic()
                self.free_at[way] = max(self.free_at[way], now - BURST_S) + len(data) / self.rate
                if self.free_at[way] > now + 0.001:
                    await asyncio.sleep(self.free_at[way] - now)
                self.carried[way] += len(data)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            return
