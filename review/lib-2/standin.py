"""A small stand-in for the platform and its workers' instances, and a client that keeps connections."""

import asyncio
import json
import socket
import time

from harness import Broken, read_message


class Instance:
    """One life of a worker: serves `slots` requests at once and turns away what is over or meant for another."""

    def __init__(self, platform, identifier, service, host, ip):
        self.platform, self.identifier, self.service, self.host = platform, identifier, service, host
        # Bound and not listening: connections are refused until it has started.
        self.socket = socket.socket()
        self.socket.bind((ip, 0))
        self.ip, self.port = self.socket.getsockname()
        self.slots = platform.slots.get(service, 1)
        self.busy = 0
        self.up_at = None
        self.server = None
        self.stopped = False
        self.state = "ready"

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def boot(self, seconds):
        await asyncio.sleep(seconds)
        if not self.stopped:
            self.server = await asyncio.start_server(self.serve, sock=self.socket, backlog=512, limit=1 << 19)
            self.up_at = time.monotonic()
            self.platform.record("instance %s of %s is up at %s" % (self.identifier, self.service, self.address))

    async def stop(self):
        self.stopped = True
        if self.server is not None:
            self.server.close()

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields, body = await read_message(reader)
                if not await self.answer(line, fields, body, reader, writer):
                    return
        except (Broken, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def reply(self, status, request_id, stamp=None, body=b"", extra=""):
        head = "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n" % (status, request_id)
        if stamp:
            head += "Server-Stamp: %s\r\n" % stamp
        return (head + extra + "Content-Length: %d\r\n\r\n" % len(body)).encode() + body

    async def answer(self, line, fields, body, reader, writer):
        platform = self.platform
        request_id = fields.get("request-id", "")
        platform.arrivals.append((time.monotonic(), request_id, self.identifier))
        if fields.get("expected-instance", self.identifier) != self.identifier:
            writer.write(self.reply(421, request_id, extra="Not-Executed: 1\r\n"))
            return True
        if self.busy >= self.slots:
            writer.write(self.reply(503, request_id, extra="Not-Executed: 1\r\n"))
            return True
        self.busy += 1
        platform.ran[request_id] = platform.ran.get(request_id, 0) + 1
        platform.running[request_id] = time.monotonic()
        try:
            await asyncio.sleep(platform.work(self.service, request_id))
            left = await platform.before_answer(self, request_id, writer)
            if left:
                return left == "kept"
            writer.write(self.reply(200, request_id, "st.%s.%s" % (self.identifier, request_id), b"done " + request_id.encode()))
            await writer.drain()
            return True
        finally:
            self.busy -= 1
            platform.running.pop(request_id, None)


class Platform:
    """The platform's calls: lists that lag, starts by nonce, stops."""

    def __init__(self, record, net, slots, boot, work, hosts, lag=0.8):
        self.record = record
        self.ip = net + ".200"
        self.slots, self.boot, self.work, self.lag = slots, boot, work, lag
        self.hosts = hosts
        self.instances = {}
        self.nonces = {}
        self.arrivals, self.ran, self.running = [], {}, {}
        self.memory = {}
        self.next_port = None

    async def before_answer(self, instance, request_id, writer):
        """Something else than the answer, if a case wants that: "kept" or "closed"."""
        return None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, backlog=128)
        self.port = self.server.sockets[0].getsockname()[1]
        return "%s:%d" % (self.ip, self.port)

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, target, _ = line.split(" ")
                status, tree = await self.call(method, target.split("?")[0], json.loads(body) if body else None)
                data = json.dumps(tree).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
        except (Broken, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, path, tree):
        now = time.monotonic()
        if path == "/instances":
            listed = [
                {
                    "Service": i.service, "Address": i.address, "Zone": self.hosts[i.host], "Version": "v1",
                    "ConcurrencySlots": i.slots, "State": i.state, "ColdRemainingMs": 0, "Identifier": i.identifier,
                    "Worker": i.host,
                }
                for i in self.instances.values()
                if i.up_at is not None and now > i.up_at + self.lag and not i.stopped
            ]
            return 200, {"Instances": listed, "NextPageToken": None}
        if path == "/v1/workers":
            used = {}
            for i in self.instances.values():
                if not i.stopped:
                    used[i.host] = used.get(i.host, 0) + self.memory.get(i.service, 512)
            return 200, {
                "Workers": [
                    {"Name": n, "Zone": z, "MemoryMb": 7780, "FreeMemoryMb": max(0, 7780 - used.get(n, 0)), "State": "ready"}
                    for n, z in self.hosts.items()
                ]
            }
        if path == "/v1/begin":
            key = (tree["Service"], tree["Nonce"])
            if key not in self.nonces:
                number = len(self.nonces) + 1
                i = Instance(self, "i-%06x" % number, tree["Service"], tree["Worker"], self.ip)
                self.nonces[key] = i
                self.instances[i.identifier] = i
                asyncio.ensure_future(i.boot(self.boot(tree["Service"])))
            i = self.nonces[key]
            return 200, {"Identifier": i.identifier, "Address": i.address}
        if path == "/v1/stop":
            i = self.instances.get(tree["Identifier"])
            if i is None:
                return 404, {}
            await i.stop()
            return 200, {}
        return 404, {}


class Client:
    """A client's connection that is kept for many requests."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None
        self.used = 0

    async def connect(self):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 17)

    async def ask(self, method, host, path, request_id, remaining, body=b"", extra=""):
        """(status, fields, body); Broken if the connection ends first."""
        if self.writer is None:
            await self.connect()
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRemaining-Milliseconds: %d\r\n%s" % (
            method, path, host, request_id, remaining, extra,
        )
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        try:
            self.writer.write(head.encode("latin-1") + b"\r\n" + body)
            await self.writer.drain()
        except (ConnectionError, OSError) as e:
            self.close()
            raise Broken(type(e).__name__)
        try:
            line, fields, answer = await read_message(self.reader)
        except Broken:
            self.close()
            raise
        self.used += 1
        if fields.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), fields, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None
