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

/** Figures for docs/results.md, no part of CI: mvn -B -q test -Dtest=PolicyMeasure. */
public class PolicyMeasure {
    private static final int WORKERS = 10;
    private static final double RATE = 80;
    private static final double SECONDS = 15;
    private static final int SEEDS = 3;

    /** Second copies before stand-in workers, by the way in which one in ten is slow. */
    @Test
    public void copies() throws Exception {
        for (String way :
                new String[] {
                    "one task in ten is slow",
                    "one worker in ten is slow",
                    "each worker in turn is slow for a second"
                }) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                System.out.println(way + ", seed " + seed + ", without: " + day(way, seed, ""));
                System.out.println(
                        way
                                + ", seed "
                                + seed
                                + ", with:    "
                                + day(
                                        way,
                                        seed,
                                        "[[route]]\nname = \"r\"\n"
                                                + "match.profile = \"p\"\ncopies = { most = 2, after = \"60ms\" }\n"
                                                + "repeats = { share = 0.2, least_per_s = 2 }\n"));
            }
        }
    }

    private static ToDoubleFunction<String> runFor(String way, int worker, int seed, long begun) {
        SplittableRandom r = new SplittableRandom(31L * seed + worker);
        return id -> {
            double usual = 10 + 20 * r.nextDouble();
            boolean slow =
                    switch (way) {
                        case "one task in ten is slow" -> r.nextInt(10) == 0;
                        case "one worker in ten is slow" -> worker == 0;
                        default -> (System.nanoTime() - begun) / 1_000_000_000L % WORKERS == worker;
                    };
            return slow ? 20 * usual : usual;
        };
    }

    private static String day(String way, int seed, String more) throws Exception {
        try (Peers peers = new Peers()) {
            StringBuilder text =
                    new StringBuilder(
                            "[scheduler]\nlisten = \"127.0.0.1:0\"\nseed = \""
                                    + seed
                                    + "\"\n[profile.p]\neffect = \"idempotent\"\nexpiry = \"5s\"\ndue = \"2s\"\n");
            long begun = System.nanoTime();
            for (int w = 0; w < WORKERS; w++) {
                text.append("[[worker]]\nname = \"w")
                        .append(w)
                        .append("\"\naddress = \"127.0.0.1:")
                        .append(peers.worker("w" + w, 4, runFor(way, w, seed, begun)))
                        .append("\"\nsize = 4\n");
            }
            Path file = Files.writeString(Files.createTempFile("measure", ".toml"), text + more);
            Daemon daemon = FileDaemon.open(file);
            Files.delete(file);
            peers.callBackTo((InetSocketAddress) daemon.clients.address());
            CountDownLatch ready = new CountDownLatch(1);
            daemon.loop.submit(daemon::start);
            daemon.loop.submit(ready::countDown);
            ready.await();
            double[] latency = load((InetSocketAddress) daemon.clients.address(), seed);
            daemon.loop.stop();
            Arrays.sort(latency);
            double work = 0;
            long started = peers.log().stream().filter(e -> e.what().equals("started")).count();
            double[] from = new double[1];
            java.util.Map<String, Double> since = new java.util.HashMap<>();
            for (Peers.Event e : peers.log()) {
                String key = e.worker() + e.task();
                if (e.what().equals("started")) {
                    since.put(key, e.at());
                } else if (e.what().equals("ended") && since.containsKey(key)) {
                    from[0] += e.at() - since.remove(key);
                }
            }
            work = from[0];
            int n = latency.length;
            return String.format(
                    "%d tasks, median %.0f ms, 99th %.0f ms, 99.9th %.0f ms, %d runs (%+.1f%%), "
                            + "%.0f ms of work a task",
                    n,
                    latency[n / 2],
                    latency[n * 99 / 100],
                    latency[n * 999 / 1000],
                    started,
                    100.0 * (started - n) / n,
                    work / n);
        }
    }

    /** Open loop: a task is due at its time, whoever is busy; latency counts from then. */
    private static double[] load(InetSocketAddress to, int seed) throws Exception {
        SplittableRandom r = new SplittableRandom(seed);
        List<Double> due = new ArrayList<>();
        for (double t = 0; t < SECONDS * 1000; t -= 1000 / RATE * Math.log(1 - r.nextDouble())) {
            due.add(t);
        }
        ExecutorService pool = Executors.newFixedThreadPool(200);
        ThreadLocal<Socket> own = new ThreadLocal<>();
        long begun = System.nanoTime();
        List<Future<Double>> all = new ArrayList<>();
        for (int i = 0; i < due.size(); i++) {
            double at = due.get(i);
            String id = "t" + i;
            while ((System.nanoTime() - begun) / 1e6 < at) {
                Thread.onSpinWait();
            }
            all.add(
                    pool.submit(
                            () -> {
                                Socket s = own.get();
                                if (s == null) {
                                    s = new Socket(to.getAddress(), to.getPort());
                                    s.setTcpNoDelay(true);
                                    own.set(s);
                                }
                                Peers.write(
                                        s,
                                        "POST /p HTTP/1.1\r\nX-Correlation-Id: "
                                                + id
                                                + "\r\nContent-Length: 2\r\n\r\nhi");
                                String answer = Peers.read(s.getInputStream());
                                return answer.startsWith("HTTP/1.1 200 ")
                                        ? (System.nanoTime() - begun) / 1e6 - at
                                        : 5000;
                            }));
        }
        double[] latency = new double[all.size()];
        for (int i = 0; i < latency.length; i++) {
            latency[i] = all.get(i).get();
        }
        pool.shutdownNow();
        return latency;
    }

    /**
     * Time from a task's coming to its first assignment, by number of routes; the last route takes
     * it.
     */
    @Test
    public void routes() {
        for (int round = 0; round < 3; round++) {
            for (int n : new int[] {0, 1, 100, 10_000}) {
                System.out.printf(
                        "%d routes: %.2f us from a task to its assignment%n", n, toFirst(n));
            }
        }
    }

    /** Time to read a call-back as it comes from a worker: its head, its body, the report in it. */
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
     * Time of the module for a task, from its coming to its end, by tasks in hand and by workers.
     */
    @Test
    public void inHand() {
        for (int round = 0; round < 3; round++) {
            for (int[] n :
                    new int[][] {{100, 10}, {1000, 10}, {10_000, 10}, {100, 100}, {100, 1000}}) {
                System.out.printf(
                        "%d in hand, %d workers: %.2f us a task%n", n[0], n[1], whole(n[0], n[1]));
            }
        }
    }

    private static double whole(int inHand, int workers) {
        DispatcherSettings s = settings();
        List<Assignment> sent = new ArrayList<>();
        Dispatcher d = dispatcher(s, workers, 4.0 * inHand, sent);
        int tasks = inHand + 10_000;
        long from = 0;
        java.util.ArrayDeque<Assignment> out = new java.util.ArrayDeque<>();
        for (int i = 0; i < tasks + 2 * inHand; i++) {
            from = i == 2 * inHand ? System.nanoTime() : from;
            Task t = new Task("t");
            t.profile = s.profiles[0];
            t.expiry = i + 1e6;
            d.arrived(i, t);
            out.add(sent.remove(0));
            if (out.size() > inHand) {
                d.ended(i + 0.5, out.poll(), gingerspool.dispatch.Outcome.OK, true, null);
            }
        }
        return (System.nanoTime() - from) / 1e3 / tasks;
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
        Dispatcher d = new Dispatcher(s, 7, new Sends(sent));
        d.listBegins(0, true);
        for (int w = 0; w < workers; w++) {
            d.listed(w, 0, 0, 0, Dispatcher.RUNNING, size, 0);
        }
        d.listEnds(0, true, false);
        return d;
    }

    private static double toFirst(int routes) {
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
        Routes table = routes == 0 ? null : new Routes(rules, null);
        String path = "/p/x" + Math.max(0, routes - 1) + "/a/b";
        String host = "a.h" + Math.max(0, routes - 1) % 50 + ".org";
        long spent = 0;
        int tasks = 200_000;
        for (int i = 0; i < 2 * tasks; i++) {
            Task t = new Task("t");
            t.profile = p;
            t.expiry = i + 1e6;
            long from = System.nanoTime();
            if (table != null) {
                table.admit(i, t, path, host, "t");
            }
            d.arrived(i, t);
            spent += i < tasks ? 0 : System.nanoTime() - from;
            d.ended(i + 0.5, sent.remove(0), gingerspool.dispatch.Outcome.OK, true, null);
        }
        return spent / 1e3 / tasks;
    }

    private record Sends(List<Assignment> sent) implements DispatchActions {
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
