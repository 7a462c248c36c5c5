package gingerspool.standin;

import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import gingerspool.wire.Listener;
import gingerspool.wire.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A stand-in for the platform that instances run on: its lists, which are late, starts and stops,
 * and the instances themselves, which refuse connections until they have started, serve so many
 * requests at once and turn away what is over or meant for another. All on loopback and one loop;
 * for tests and for trying out.
 */
public final class Cloud implements Listener.Owner, Inbound.Handler {
    private final EventLoop loop;
    private final double boot;
    private final double work;
    private final double lag;
    private final int slots;
    private final Listener listener;
    private final InetAddress ip;
    private final Map<String, String> hosts = new LinkedHashMap<>();
    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final Map<String, Instance> byNonce = new LinkedHashMap<>();

    /** Requests that ran, and those turned away for want of a slot. */
    public int ran;

    public int turnedAway;

    /** It answers no call while this is set. */
    public boolean down;

    /** Called on the loop with the Request-Id of each request that arrives at an instance. */
    public Consumer<String> onArrival = id -> {};

    /** One started copy of a service. */
    private final class Instance implements Listener.Owner, Inbound.Handler {
        final String id;
        final String service;
        final String host;
        final InetSocketAddress address;
        Listener door;
        double startedAt = Double.POSITIVE_INFINITY;
        boolean stopped;
        int busy;

        Instance(String id, String service, String host, InetSocketAddress address) {
            this.id = id;
            this.service = service;
            this.host = host;
            this.address = address;
        }

        void start() {
            if (stopped) {
                return;
            }
            try {
                door = new Listener(loop, address, this);
                door.acceptOn();
                startedAt = loop.now();
            } catch (IOException e) {
                stopped = true;
            }
        }

        void stop() {
            stopped = true;
            if (door != null) {
                door.close();
            }
        }

        @Override
        public void accepted(AsynchronousSocketChannel channel) {
            new Inbound(loop, channel, this).start();
        }

        @Override
        public void asked(Inbound from, Message m) {
            String request = m.field("request-id");
            String meant = m.field("expected-instance");
            onArrival.accept(request);
            List<String> fields = List.of("Request-Id: " + request, "Server-Stamp: " + id);
            if (meant != null && !meant.equals(id)) {
                from.answer(421, fields, "");
            } else if (busy >= slots) {
                turnedAway++;
                from.answer(503, List.of("Request-Id: " + request, "Not-Executed: 1"), "");
            } else {
                busy++;
                ran++;
                loop.schedule(
                        work,
                        () -> {
                            busy--;
                            from.answer(
                                    200,
                                    fields,
                                    "hello from " + id + " of " + service + " on " + host);
                        });
            }
        }

        @Override
        public void idle(Inbound connection, boolean idle) {}

        @Override
        public void unreadable(BadMessage fault) {}

        @Override
        public void closed(Inbound connection) {
            door.acceptOn();
        }
    }

    /**
     * Hosts by name with their zones; spans in milliseconds. Listens at once, at a port of the
     * system's choice.
     */
    public Cloud(
            EventLoop loop,
            String ip,
            Map<String, String> hosts,
            double boot,
            double work,
            double lag,
            int slots)
            throws IOException {
        this.loop = loop;
        this.ip = InetAddress.getByName(ip);
        this.boot = boot;
        this.work = work;
        this.lag = lag;
        this.slots = slots;
        this.hosts.putAll(hosts);
        listener = new Listener(loop, new InetSocketAddress(this.ip, 0), this);
        listener.acceptOn();
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.address();
    }

    public void close() {
        listener.close();
        instances.values().forEach(Instance::stop);
    }

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        new Inbound(loop, channel, this).start();
    }

    @Override
    public void asked(Inbound from, Message m) {
        if (down) {
            return;
        }
        try {
            Object body = m.body().length == 0 ? null : Json.read(m.body(), 0, m.body().length);
            switch (m.method() + " " + m.target().split("\\?", 2)[0]) {
                case "GET /instances" -> from.answer(200, List.of(), Json.write(list()));
                case "GET /v1/workers" -> from.answer(200, List.of(), Json.write(workers()));
                case "POST /v1/begin" ->
                        begin(
                                from,
                                JsonTree.text("", body, "Service"),
                                JsonTree.text("", body, "Worker"),
                                JsonTree.text("", body, "Nonce"));
                case "POST /v1/stop" -> {
                    Instance i = instances.remove(JsonTree.text("", body, "Identifier"));
                    if (i != null) {
                        i.stop();
                    }
                    from.answer(i == null ? 404 : 200, List.of(), "{}");
                }
                default -> from.answer(404, List.of(), "{}");
            }
        } catch (BadMessage | IOException e) {
            from.answer(400, List.of(), "{}");
        }
    }

    private void begin(Inbound from, String service, String host, String nonce) throws IOException {
        if (service.isEmpty() || host.isEmpty() || nonce.isEmpty()) {
            from.answer(400, List.of(), "{}");
            return;
        }
        Instance i = byNonce.get(service + " " + nonce);
        if (i == null && !hosts.containsKey(host)) {
            from.answer(409, List.of(), "{}");
            return;
        }
        if (i == null) {
            try (ServerSocket free = new ServerSocket(0, 1, ip)) {
                i =
                        new Instance(
                                "i-" + (byNonce.size() + 1),
                                service,
                                host,
                                new InetSocketAddress(ip, free.getLocalPort()));
            }
            byNonce.put(service + " " + nonce, i);
            instances.put(i.id, i);
            loop.schedule(boot, i::start);
        }
        from.answer(
                200,
                List.of(),
                Json.write(Map.of("Identifier", i.id, "Address", Address.text(i.address))));
    }

    private Map<String, Object> list() {
        List<Object> all = new ArrayList<>();
        for (Instance i : instances.values()) {
            if (loop.now() > i.startedAt + lag) {
                all.add(
                        Map.of(
                                "Identifier",
                                i.id,
                                "Service",
                                i.service,
                                "Address",
                                Address.text(i.address),
                                "Zone",
                                hosts.get(i.host),
                                "Worker",
                                i.host,
                                "ConcurrencySlots",
                                slots,
                                "State",
                                "ready"));
            }
        }
        return Map.of("Instances", all);
    }

    private Map<String, Object> workers() {
        List<Object> all = new ArrayList<>();
        hosts.forEach(
                (name, zone) ->
                        all.add(
                                Map.of(
                                        "Name",
                                        name,
                                        "Zone",
                                        zone,
                                        "MemoryMb",
                                        8192,
                                        "FreeMemoryMb",
                                        8192,
                                        "State",
                                        "ready")));
        return Map.of("Workers", all);
    }

    @Override
    public void idle(Inbound connection, boolean idle) {}

    @Override
    public void unreadable(BadMessage fault) {}

    @Override
    public void closed(Inbound connection) {
        listener.acceptOn();
    }
}
