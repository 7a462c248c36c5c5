package gingerspool.daemon;

import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.DispatchActions;
import gingerspool.dispatch.Dispatcher;
import gingerspool.dispatch.DispatcherSettings;
import gingerspool.dispatch.Profile;
import gingerspool.dispatch.Task;
import gingerspool.peers.Peers;
import gingerspool.route.Match;
import gingerspool.route.Policy;
import gingerspool.route.Routes;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.ToDoubleFunction;
import org.testng.annotations.Test;

/**
 * Measures the cost and the effect of policies for docs/results.md. Not part of CI; run with mvn -B
 * -q test -Dtest=PolicyMeasure.
 */
public class PolicyMeasure {
    private static final int WORKERS = 10;
    private static final double RATE_PER_S = 80;
    private static final double DURATION_S = 15;
    private static final int SEEDS = 3;

    /**
     * Latency and work with and without second copies of a task, for three ways in which a tenth of
     * the work of stand-in workers is slow.
     */
    @Test
    public void copies() throws Exception {
        for (String slowness :
                new String[] {
                    "one task in ten is slow",
                    "one worker in ten is slow",
                    "each worker in turn is slow for a second"
                }) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                System.out.println(
                        slowness
                                + ", seed "
                                + seed
                                + ", without: "
                                + measureLatency(slowness, seed, ""));
                System.out.println(
                        slowness
                                + ", seed "
                                + seed
                                + ", with:    "
                                + measureLatency(
                                        slowness,
                                        seed,
                                        "[[route]]\nname = \"r\"\n"
                                                + "match.profile = \"p\"\ncopies = { most = 2, after = \"60ms\" }\n"
                                                + "repeats = { share = 0.2, least_per_s = 2 }\n"));
            }
        }
    }

    private static ToDoubleFunction<String> runningTimes(
            String slowness, int worker, int seed, long startedAt) {
        SplittableRandom random = new SplittableRandom(31L * seed + worker);
        return id -> {
            double usualMs = 10 + 20 * random.nextDouble();
            boolean slow =
                    switch (slowness) {
                        case "one task in ten is slow" -> random.nextInt(10) == 0;
                        case "one worker in ten is slow" -> worker == 0;
                        default ->
                                (System.nanoTime() - startedAt) / 1_000_000_000L % WORKERS
                                        == worker;
                    };
            return slow ? 20 * usualMs : usualMs;
        };
    }

    private static String measureLatency(String slowness, int seed, String extraConfiguration)
            throws Exception {
        try (Peers peers = new Peers()) {
            StringBuilder text =
                    new StringBuilder(
                            "[scheduler]\nlisten = \"127.0.0.1:0\"\nseed = \""
                                    + seed
                                    + "\"\n[profile.p]\neffect = \"idempotent\"\nexpiry = \"5s\"\ndue = \"2s\"\n");
            long startedAt = System.nanoTime();
            for (int w = 0; w < WORKERS; w++) {
                text.append("[[worker]]\nname = \"w")
                        .append(w)
                        .append("\"\naddress = \"127.0.0.1:")
                        .append(
                                peers.worker(
                                        "w" + w, 4, runningTimes(slowness, w, seed, startedAt)))
                        .append("\"\nsize = 4\n");
            }
            Path file =
                    Files.writeString(
                            Files.createTempFile("measure", ".toml"), text + extraConfiguration);
            Daemon daemon = FileDaemon.open(file);
            Files.delete(file);
            peers.callBackTo((InetSocketAddress) daemon.clients.address());
            CountDownLatch ready = new CountDownLatch(1);
            daemon.loop.submit(daemon::start);
            daemon.loop.submit(ready::countDown);
            ready.await();
            double[] latency = generateLoad((InetSocketAddress) daemon.clients.address(), seed);
            daemon.loop.stop();
            Arrays.sort(latency);
            double work = 0;
            long started = peers.log().stream().filter(e -> e.what().equals("started")).count();
            double[] workMs = new double[1];
            java.util.Map<String, Double> startTimes = new java.util.HashMap<>();
            for (Peers.Event e : peers.log()) {
                String key = e.worker() + e.task();
                if (e.what().equals("started")) {
                    startTimes.put(key, e.at());
                } else if (e.what().equals("ended") && startTimes.containsKey(key)) {
                    workMs[0] += e.at() - startTimes.remove(key);
                }
            }
            work = workMs[0];
            int tasks = latency.length;
            return String.format(
                    "%d tasks, median %.0f ms, 99th %.0f ms, 99.9th %.0f ms, %d runs (%+.1f%%), "
                            + "%.0f ms of work a task",
                    tasks,
                    latency[tasks / 2],
                    latency[tasks * 99 / 100],
                    latency[tasks * 999 / 1000],
                    started,
                    100.0 * (started - tasks) / tasks,
                    work / tasks);
        }
    }

    /**
     * Sends tasks in an open loop: each is due at its own time, however busy the clients are, and
     * its latency counts from then.
     */
    private static double[] generateLoad(InetSocketAddress address, int seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        List<Double> dueTimes = new ArrayList<>();
        for (double t = 0;
                t < DURATION_S * 1000;
                t -= 1000 / RATE_PER_S * Math.log(1 - random.nextDouble())) {
            dueTimes.add(t);
        }
        ExecutorService pool = Executors.newFixedThreadPool(200);
        ThreadLocal<Socket> connections = new ThreadLocal<>();
        long startedAt = System.nanoTime();
        List<Future<Double>> latencies = new ArrayList<>();
        for (int i = 0; i < dueTimes.size(); i++) {
            double dueTime = dueTimes.get(i);
            String id = "t" + i;
            while ((System.nanoTime() - startedAt) / 1e6 < dueTime) {
                Thread.onSpinWait();
            }
            latencies.add(
                    pool.submit(
                            () -> {
                                Socket s = connections.get();
                                if (s == null) {
                                    s = new Socket(address.getAddress(), address.getPort());
                                    s.setTcpNoDelay(true);
                                    connections.set(s);
                                }
                                Peers.write(
                                        s,
                                        "POST /p HTTP/1.1\r\nX-Correlation-Id: "
                                                + id
                                                + "\r\nContent-Length: 2\r\n\r\nhi");
                                String answer = Peers.read(s.getInputStream());
                                return answer.startsWith("HTTP/1.1 200 ")
                                        ? (System.nanoTime() - startedAt) / 1e6 - dueTime
                                        : 5000;
                            }));
        }
        double[] latency = new double[latencies.size()];
        for (int i = 0; i < latency.length; i++) {
            latency[i] = latencies.get(i).get();
        }
        pool.shutdownNow();
        return latency;
    }

    /**
     * The time from a task's arrival to its first assignment, by number of routes; the last route
     * matches it.
     */
    @Test
    public void routes() {
        for (int round = 0; round < 3; round++) {
            for (int n : new int[] {0, 1, 100, 10_000}) {
                System.out.printf(
                        "%d routes: %.2f us from a task to its assignment%n",
                        n, microsToFirstAssignment(n));
            }
        }
    }

    /** The time to parse a worker's callback: its head, its body and the load report in it. */
    @Test
    public void parsing() throws Exception {
        String body =
                "{\"id\":\"9b1f03aa5c7e2d41\",\"from\":\"s-0badcafe\",\"state\":\"done\",\"result\":"
                        + "\"9b1f03aa5c7e2d41 by s-0badcafe\",\"load\":{\"inflight\":7.00,\"queue\":2.00,\"util\":0.61}}";
        byte[] bytes =
                ("POST /callback HTTP/1.1\r\nHost: 10.0.0.4:8080\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body)
                        .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        for (int round = 0; round < 3; round++) {
            int n = 300_000;
            long from = System.nanoTime();
            for (int i = 0; i < n; i++) {
                gingerspool.wire.Message m = gingerspool.wire.Message.request();
                m.take(bytes, 0, bytes.length);
                byte[] b = m.body();
                gingerspool.wire.Json.read(b, 0, b.length);
            }
            System.out.printf(
                    "parsing: %.2f us a call-back%n", (System.nanoTime() - from) / 1e3 / n);
        }
    }

    /**
     * The time the dispatcher spends on a task, from its arrival to its end, by tasks in progress
     * and by workers.
     */
    @Test
    public void inHand() {
        for (int round = 0; round < 3; round++) {
            for (int[] n :
                    new int[][] {{100, 10}, {1000, 10}, {10_000, 10}, {100, 100}, {100, 1000}}) {
                System.out.printf(
                        "%d in hand, %d workers: %.2f us a task%n",
                        n[0], n[1], microsPerTask(n[0], n[1]));
            }
        }
    }

    private static double microsPerTask(int inHand, int workers) {
        DispatcherSettings s = settings();
        List<Assignment> sent = new ArrayList<>();
        Dispatcher d = dispatcher(s, workers, 4.0 * inHand, sent);
        int tasks = inHand + 10_000;
        long startedAt = 0;
        java.util.ArrayDeque<Assignment> inFlight = new java.util.ArrayDeque<>();
        for (int i = 0; i < tasks + 2 * inHand; i++) {
            startedAt = i == 2 * inHand ? System.nanoTime() : startedAt;
            Task t = new Task("t");
            t.profile = s.profiles[0];
            t.expiry = i + 1e6;
            d.arrived(i, t);
            inFlight.add(sent.remove(0));
            if (inFlight.size() > inHand) {
                d.ended(i + 0.5, inFlight.poll(), gingerspool.dispatch.Outcome.OK, true, null);
            }
        }
        return (System.nanoTime() - startedAt) / 1e3 / tasks;
    }

    private static DispatcherSettings settings() {
        DispatcherSettings s = new DispatcherSettings();
        Profile p = new Profile();
        p.name = "p";
        p.effect = Profile.Effect.IDEMPOTENT;
        p.dueTime = 1e5;
        p.expiry = 1e6;
        s.profiles = new Profile[] {p};
        s.zone = 0;
        return s;
    }

    private static Dispatcher dispatcher(
            DispatcherSettings s, int workers, double size, List<Assignment> sent) {
        Dispatcher d = new Dispatcher(s, 7, new RecordingActions(sent));
        d.listBegins(0, true);
        for (int w = 0; w < workers; w++) {
            d.listed(w, 0, 0, 0, Dispatcher.RUNNING, size, 0);
        }
        d.listEnds(0, true, false);
        return d;
    }

    private static double microsToFirstAssignment(int routes) {
        DispatcherSettings s = settings();
        Profile p = s.profiles[0];
        List<Assignment> sent = new ArrayList<>();
        Dispatcher d = dispatcher(s, 10, 1000, sent);
        Policy policy = new Policy(4, 1000, null, null, null, null, null, null);
        List<Routes.Rule> rules = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            rules.add(
                    new Routes.Rule(
                            "r" + i,
                            new Match("p", "/p/x" + i + "/**", "*.h" + i % 50 + ".org", null),
                            Map.of("p", policy),
                            "route",
                            "route",
                            "route"));
        }
        Routes compiledRoutes = routes == 0 ? null : new Routes(rules, null);
        String path = "/p/x" + Math.max(0, routes - 1) + "/a/b";
        String host = "a.h" + Math.max(0, routes - 1) % 50 + ".org";
        long spentNanos = 0;
        int tasks = 200_000;
        for (int i = 0; i < 2 * tasks; i++) {
            Task t = new Task("t");
            t.profile = p;
            t.expiry = i + 1e6;
            long startedAt = System.nanoTime();
            if (compiledRoutes != null) {
                compiledRoutes.admit(i, t, path, host, "t");
            }
            d.arrived(i, t);
            spentNanos += i < tasks ? 0 : System.nanoTime() - startedAt;
            d.ended(i + 0.5, sent.remove(0), gingerspool.dispatch.Outcome.OK, true, null);
        }
        return spentNanos / 1e3 / tasks;
    }

    private record RecordingActions(List<Assignment> sent) implements DispatchActions {
        @Override
        public void send(Assignment assignment, double timeout) {
            sent.add(assignment);
        }

        @Override
        public void bounce(Task task, double pause) {}

        @Override
        public void abandon(Task task) {}

        @Override
        public void cancel(Assignment assignment) {}

        @Override
        public void probe(int worker) {}

        @Override
        public void watchList() {}

        @Override
        public void wakeAfter(double span) {}
    }
}
