package gingerspool.load;

import gingerspool.scenario.Scenario;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/** Clients that misbehave: slow heads, half requests, floods of connections and nonsense. */
final class HostileClients {
    private final EventLoop loop;
    private final Arrivals arrivals;
    private final SplittableRandom chance;
    private final List<InetSocketAddress> schedulers;
    private final IntSupplier choose;
    private final BooleanSupplier over;
    private final double until;

    /** None comes after `until`, in milliseconds of Unix time; `choose` gives a scheduler or -1. */
    HostileClients(
            EventLoop loop,
            Arrivals arrivals,
            SplittableRandom chance,
            List<InetSocketAddress> schedulers,
            IntSupplier choose,
            BooleanSupplier over,
            double until) {
        this.loop = loop;
        this.arrivals = arrivals;
        this.chance = chance;
        this.schedulers = schedulers;
        this.choose = choose;
        this.over = over;
        this.until = until;
    }

    /** Begins, at the rates a second that the scenario gives. */
    void play(Scenario.Load rates) {
        hostile(rates.slowHeads, this::slowHead);
        hostile(rates.halfRequests, this::halfRequest);
        hostile(rates.floods, this::flood);
        hostile(rates.nonsense, this::nonsense);
    }

    private void hostile(double rate, Runnable what) {
        if (rate > 0 && !over.getAsBoolean()) {
            loop.schedule(
                    -1000 * Math.log(1 - chance.nextDouble()) / rate,
                    () -> {
                        if (!over.getAsBoolean() && loop.now() < until) {
                            what.run();
                            hostile(rate, what);
                        }
                    });
        }
    }

    private Client bare() {
        int s = choose.getAsInt();
        try {
            return s < 0
                    ? null
                    : new Client(
                            loop,
                            arrivals,
                            s,
                            schedulers.get(s),
                            new Client.Owner() {
                                @Override
                                public void answered(Client client, Message answer, double at) {}

                                @Override
                                public void broke(
                                        Client client, boolean written, boolean up, double at) {}

                                @Override
                                public void extra(Client client) {}
                            });
        } catch (IOException e) {
            return null;
        }
    }

    private void drip(Client c, byte[] bytes, int at) {
        if (c.isOpen() && at < bytes.length && !over.getAsBoolean()) {
            c.send(new byte[] {bytes[at]});
            loop.schedule(200, () -> drip(c, bytes, at + 1));
        } else {
            c.end();
        }
    }

    private void slowHead() {
        Client c = bare();
        if (c != null) {
            drip(
                    c,
                    "POST /x HTTP/1.1\r\nX-Correlation-Id: slow\r\nContent-Length: 100000000\r\n\r\n"
                            .getBytes(StandardCharsets.ISO_8859_1),
                    0);
        }
    }

    private void halfRequest() {
        Client c = bare();
        if (c != null) {
            c.send(
                    "POST /x HTTP/1.1\r\nX-Correlation-Id: half\r\nContent-Length: 500\r\n\r\nonly this"
                            .getBytes(StandardCharsets.ISO_8859_1));
            loop.schedule(500 + chance.nextInt(1000), c::end);
        }
    }

    private void flood() {
        for (int i = 0; i < 50; i++) {
            Client c = bare();
            if (c != null) {
                c.send("GET /healthz HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
                loop.schedule(1000, c::end);
            }
        }
    }

    private void nonsense() {
        Client c = bare();
        if (c != null) {
            byte[] bytes = new byte[1 + chance.nextInt(4000)];
            for (int i = 0; i < bytes.length; i++) {
                bytes[i] = (byte) chance.nextInt(256);
            }
            c.send(bytes);
            loop.schedule(1000, c::end);
        }
    }
}
