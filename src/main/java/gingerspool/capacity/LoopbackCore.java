package gingerspool.capacity;

import gingerspool.codec.Messages;
import gingerspool.controlplane.ControlNode;
import gingerspool.dataplane.HollowScheduler;
import gingerspool.settings.NodeSettings;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * One real control node, a counting relay, a hollow platform and hollow schedulers, all in this
 * process and over loopback. The control node's threads are told apart from all others.
 */
final class LoopbackCore implements AutoCloseable {
    private static final String IP = "127.0.8.1";

    /** A scheduler reports its digest and its holdings once in so many heartbeat intervals. */
    private static final double REPORTED = 4;

    private static final double RUN = 20;
    private static final double POLL_MS = 20;
    private static final double QUIET_MS = 300;

    /** What a control node tells all schedulers whenever one comes or goes. */
    static final String COUNT = "down SchedulerCount";

    private static final long PATIENCE_MS = 30_000;

    /**
     * What was counted in a span: frames by type, and the processor time of the control node and of
     * all schedulers together.
     */
    record Watched(
            Map<String, CountingRelay.Count> counts,
            double micros,
            double schedulerMicros,
            double seconds) {
        long bytes() {
            return counts.values().stream().mapToLong(CountingRelay.Count::bytes).sum();
        }

        long frames() {
            return counts.values().stream().mapToLong(CountingRelay.Count::frames).sum();
        }

        CountingRelay.Count count(String type) {
            return counts.getOrDefault(type, new CountingRelay.Count(0, 0));
        }
    }

    /** One scheduler that calls one function, and what it knows of its slots. */
    private final class Caller {
        final HollowScheduler links;
        final String function;
        long granted;
        long came;
        long version;
        boolean waits;
        final Map<String, Integer> held = new HashMap<>();

        Caller(int number, String function) {
            this.function = function;
            String name = "front-" + number;
            links =
                    new HollowScheduler(
                            schedulers,
                            schedulerSettings,
                            () -> HollowScheduler.registration(name, "zone-a"),
                            this::message);
        }

        void message(Object message) {
            if (message instanceof Messages.Registered) {
                granted = 0;
                came = 0;
            } else if (message instanceof Messages.ConfigurationPush push) {
                version = push.number();
                digest = push.configuration();
                report();
            } else if (message instanceof Messages.SlotGrant grant) {
                granted++;
                held.merge(grant.instance(), 1, Integer::sum);
                schedulers.schedule(RUN, () -> giveBack(grant.instance()));
            }
        }

        void report() {
            links.tell(
                    new Messages.ConfigurationAck(
                            version, gingerspool.antientropy.RangeDigests.digest(digest)));
        }

        void reportOn() {
            report();
            links.tell(new Messages.SlotHoldings(granted, Map.copyOf(held)));
            schedulers.schedule(REPORTED * interval, this::reportOn);
        }

        void call() {
            if (!waits) {
                waits = true;
                came++;
                links.tell(new Messages.SlotDemand(function, 1, granted, 1, came, RUN));
            }
        }

        private void giveBack(String instance) {
            waits = false;
            held.remove(instance);
            links.tell(new Messages.SlotReturn(instance, 1, Messages.InstanceCondition.HEALTHY));
            links.tell(new Messages.SlotDemand(function, 0, granted, 0, came, RUN));
        }
    }

    private final Path folder = Files.createTempDirectory("gingerspool-capacity");
    private final SingleThreadEventLoop schedulers;
    private final SingleThreadEventLoop relays = new SingleThreadEventLoop();
    private final HttpClient operator =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private final SampleConfiguration sample;
    private final int functions;
    private final double interval;
    private final CountingRelay relay;
    private final HollowPlatform platform;
    private final ControlNode control;
    private final NodeSettings schedulerSettings;
    private final int controlPort = freePort();
    private final ThreadGroup controlThreads = new ThreadGroup("control");
    private final ThreadGroup schedulerThreads = new ThreadGroup("schedulers");
    private final List<Caller> callers = new ArrayList<>();

    /** The configuration as it was last pushed: one copy for all schedulers. */
    private byte[] digest = new byte[0];

    private long version;

    LoopbackCore(int functions, double interval, long seed) throws Exception {
        this.functions = functions;
        this.interval = interval;
        sample = new SampleConfiguration(seed);
        int behind = freePort();
        int inFront = freePort();
        relay =
                new CountingRelay(
                        relays,
                        new InetSocketAddress(IP, inFront),
                        new InetSocketAddress(IP, behind));
        platform = new HollowPlatform(relays, new InetSocketAddress(IP, 0), sample, functions);
        schedulerSettings = settings("front", inFront);
        on(
                relays,
                () -> {
                    relay.begin();
                    platform.begin();
                    return null;
                });
        schedulers = Meter.inGroup(schedulerThreads, LoopbackCore::loop);
        control = Meter.inGroup(controlThreads, () -> begun(settings("core", behind)));
        configure(true);
    }

    /** A loop whose thread belongs to the group of the caller's. */
    private static SingleThreadEventLoop loop() throws IOException {
        SingleThreadEventLoop loop = new SingleThreadEventLoop();
        loop.submit(() -> {});
        return loop;
    }

    private static ControlNode begun(NodeSettings settings) throws Exception {
        ControlNode node = new ControlNode(settings);
        node.begin(
                why -> {
                    throw new IllegalStateException(why);
                });
        return node;
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(IP))) {
            return free.getLocalPort();
        }
    }

    private NodeSettings settings(String name, int innerPort) throws Exception {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(
                file,
                """
                NodeName = "%s"
                IpAddress = "%s"
                Zone = "zone-a"
                InternalPortRange = [%d,%d]
                SeedNodes = ["%s:%d"]
                FirstStart = true
                DataDirectory = "%s"
                HeartbeatIntervalMs = %d
                [Zones]
                zone-a = "region-a"
                [ListenAddresses]
                ControlAddress = "%s:%d"
                [Limits]
                DiskMb = 100000
                [Cloud]
                Address = "%s"
                RatePerS = 1000.0
                LagMs = 1000
                DutyPerS = 0.0
                """
                        .formatted(
                                name,
                                IP,
                                innerPort,
                                innerPort,
                                IP,
                                controlPort,
                                folder.resolve(name),
                                (int) interval,
                                IP,
                                controlPort,
                                gingerspool.wire.Address.text(platform.address())));
        return NodeSettings.read(file);
    }

    private static <T> T on(SingleThreadEventLoop loop, Supplier<T> what) throws Exception {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.submit(() -> done.complete(what.get()));
        return done.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    private void until(BooleanSupplier done) throws Exception {
        double end = relays.now() + PATIENCE_MS;
        while (!done.getAsBoolean()) {
            if (relays.now() > end) {
                throw new IllegalStateException("not within " + PATIENCE_MS + " ms");
            }
            pass(POLL_MS);
        }
    }

    /** Lets so much time pass, by a timer of the relay's loop. */
    private void pass(double span) throws Exception {
        CompletableFuture<Void> over = new CompletableFuture<>();
        relays.submit(() -> relays.schedule(span, () -> over.complete(null)));
        over.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** An operator's order, whole or of one function, until it is acknowledged. */
    private void configure(boolean whole) throws Exception {
        long on = version;
        byte[] body = whole ? sample.whole(on + 1, functions) : sample.change(on + 1, functions);
        HttpRequest order =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + IP
                                                + ":"
                                                + controlPort
                                                + "/v1/configuration/"
                                                + (whole ? "replace" : "modify")))
                        .header("Based-On-Version", Long.toString(on))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        until(() -> status(order) == 200);
        version = on + 1;
    }

    private int status(HttpRequest order) {
        try {
            return operator.send(order, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Adds schedulers until there are so many, and waits until all have the configuration. */
    Watched schedulers(int count) throws Exception {
        return watch(() -> addSchedulers(count));
    }

    private void addSchedulers(int count) throws Exception {
        on(
                schedulers,
                () -> {
                    while (callers.size() < count) {
                        int number = callers.size();
                        Caller c = new Caller(number, sample.function(number % functions));
                        callers.add(c);
                        c.links.begin();
                        // Reports are spread over their interval.
                        double phase = REPORTED * interval * number / count;
                        schedulers.schedule(phase, c::reportOn);
                    }
                    return null;
                });
        until(() -> allHave(version));
        quieten();
    }

    /** Waits until nobody is told any more how many schedulers there are. */
    private void quieten() throws Exception {
        long before = -1;
        for (long told = told(); told != before; told = told()) {
            before = told;
            pass(QUIET_MS);
        }
    }

    private long told() throws Exception {
        return on(relays, () -> relay.frames(COUNT));
    }

    private boolean allHave(long number) {
        try {
            return on(
                    schedulers,
                    () -> callers.stream().allMatch(c -> c.links.isLed() && c.version == number));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Watches for so many heartbeat intervals, while each scheduler makes so many calls a second.
     */
    Watched watch(int intervals, double callsPerSecond) throws Exception {
        boolean[] goesOn = {true};
        if (callsPerSecond > 0) {
            on(schedulers, () -> begin(callsPerSecond, goesOn));
            pass(interval);
        }
        Watched watched = watch(() -> pass(intervals * interval));
        on(schedulers, () -> goesOn[0] = false);
        return watched;
    }

    private Object begin(double callsPerSecond, boolean[] goesOn) {
        double gap = 1000 / callsPerSecond;
        for (int i = 0; i < callers.size(); i++) {
            Caller c = callers.get(i);
            schedulers.schedule(gap * i / callers.size(), () -> callOn(c, gap, goesOn));
        }
        return null;
    }

    private void callOn(Caller c, double gap, boolean[] goesOn) {
        if (goesOn[0]) {
            c.call();
            schedulers.schedule(gap, () -> callOn(c, gap, goesOn));
        }
    }

    /** One change of one function, until every scheduler has it. */
    Watched push() throws Exception {
        return watch(
                () -> {
                    configure(false);
                    until(() -> allHave(version));
                });
    }

    private Watched watch(Meter.Step step) throws Exception {
        on(relays, relay::take);
        double micros = Meter.micros(controlThreads);
        double others = Meter.micros(schedulerThreads);
        long begun = System.nanoTime();
        step.run();
        double seconds = (System.nanoTime() - begun) / 1e9;
        Map<String, CountingRelay.Count> counts = new HashMap<>(on(relays, relay::take));
        return new Watched(
                counts,
                Meter.micros(controlThreads) - micros,
                Meter.micros(schedulerThreads) - others,
                seconds);
    }

    @Override
    public void close() {
        control.close();
        // In a turn, so that no timer of theirs comes between.
        schedulers.submit(schedulers::stop);
        relays.submit(
                () -> {
                    relay.close();
                    platform.close();
                    relays.stop();
                });
    }
}
