package gingerspool.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.judge.Judge;
import gingerspool.judge.Judge.Rule;
import gingerspool.judge.Verdict;
import gingerspool.load.Load;
import gingerspool.peers.Folders;
import gingerspool.scenario.Plan;
import gingerspool.scenario.Scenario;
import gingerspool.scenario.ScenarioFile;
import gingerspool.standin.Fleet;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Schedulers that break a rule on purpose are found out by what clients and workers wrote down, in
 * every seed.
 */
public class JudgeTest {
    private static final int SEEDS = 20;
    private static final String SCENARIO =
            "length = \"900ms\"\n"
                    + "[fleet]\nworkers = 5\nslots = 16\ngrace = \"100ms\"\ndeemed_told = \"200ms\"\n"
                    + "cold = { from = 0.2, warm_within = \"10s\", overload = 0.2, window = \"500ms\" }\n"
                    + "[profile.a]\neffect = \"side-effecting\"\nwork = \"15ms\"\ndue = \"300ms\"\nexpiry = \"600ms\"\n"
                    + "[profile.b]\neffect = \"fingerprinted\"\nwork = \"15ms\"\ndue = \"300ms\"\nexpiry = \"600ms\"\n"
                    + "window = \"10ms\"\n"
                    + "[load]\nrate_per_s = 150\nconnections = 500\n"
                    + "[[fault]]\nwhat = \"drain\"\nat = \"100ms\"\nfor = \"5s\"\nworker = \"w3\"\n"
                    + "[[fault]]\nwhat = \"kill\"\nat = \"200ms\"\nfor = \"100ms\"\nworker = \"w1\"\n";

    private static Verdict play(BrokenScheduler.Way way, long seed) throws Exception {
        return play(SCENARIO, way, seed, new ArrayList<>());
    }

    /** Plays it and keeps the execution log. */
    private static Verdict play(
            String scenario, BrokenScheduler.Way way, long seed, List<String[]> log)
            throws Exception {
        Path folder = Files.createTempDirectory("judge");
        Path file = Files.writeString(folder.resolve("s.toml"), scenario);
        ScenarioFile read = ScenarioFile.read(file);
        assertEquals(read.faults(), List.of());
        Scenario s = read.scenario();
        Plan plan = Plan.make(s, seed, folder);
        SingleThreadEventLoop loop = new SingleThreadEventLoop();
        Path clients = folder.resolve("clients.tsv");
        Path executions = folder.resolve("executions.tsv");
        try {
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.submit(
                    () -> {
                        try {
                            BrokenScheduler scheduler =
                                    new BrokenScheduler(loop, way, seed, s.kinds.keySet());
                            List<InetSocketAddress> at = List.of(scheduler.listen());
                            Fleet fleet = new Fleet(loop, plan, at, executions);
                            Load load = new Load(loop, plan, at, clients);
                            fleet.start();
                            scheduler.follow(fleet.discovery(0));
                            loop.schedule(
                                    100,
                                    () -> {
                                        fleet.play();
                                        load.play(
                                                () ->
                                                        loop.schedule(
                                                                300,
                                                                () -> {
                                                                    try {
                                                                        load.close();
                                                                        fleet.close();
                                                                        done.complete(null);
                                                                    } catch (IOException e) {
                                                                        done.completeExceptionally(
                                                                                e);
                                                                    }
                                                                }));
                                    });
                        } catch (IOException e) {
                            done.completeExceptionally(e);
                        }
                    });
            done.get(20, TimeUnit.SECONDS);
            Files.readAllLines(executions).forEach(l -> log.add(l.split("\t", -1)));
            return Judge.judge(clients, executions);
        } finally {
            loop.stop();
            for (Path p : List.of(file, clients, executions, folder)) {
                Files.deleteIfExists(p);
            }
        }
    }

    @DataProvider
    public Object[][] ways() {
        return new Object[][] {
            {BrokenScheduler.Way.SOUND, null},
            {BrokenScheduler.Way.RESENDS, Rule.NO_EFFECT_TWICE},
            {BrokenScheduler.Way.COPIES, Rule.NO_OVERLAP},
            {BrokenScheduler.Way.ANSWERS_TWICE, Rule.NOTHING_AFTER},
            {BrokenScheduler.Way.DROPS, Rule.ONE_ANSWER},
            {BrokenScheduler.Way.CLOSES, Rule.ONE_ANSWER},
            {BrokenScheduler.Way.LATE, Rule.ONE_ANSWER},
            {BrokenScheduler.Way.MAKES_UP, Rule.TRUE_RESULT},
            {BrokenScheduler.Way.IGNORES_DRAINS, Rule.DRAINS},
            {BrokenScheduler.Way.FLOODS_COLD, Rule.COLD},
            {BrokenScheduler.Way.BOUNCES_WHAT_RUNS, Rule.BOUNCED_NEVER_RAN},
        };
    }

    @Test(dataProvider = "ways")
    public void whatIsBrokenIsFoundInEverySeed(BrokenScheduler.Way way, Rule rule)
            throws Exception {
        ExecutorService pool = Executors.newFixedThreadPool(10);
        try {
            List<Future<Verdict>> all = new ArrayList<>();
            for (int seed = 1; seed <= SEEDS; seed++) {
                long n = seed;
                all.add(pool.submit(() -> play(way, n)));
            }
            for (int i = 0; i < SEEDS; i++) {
                Verdict v = all.get(i).get(60, TimeUnit.SECONDS);
                assertTrue(v.all().asked > 50, "seed " + (i + 1) + ": " + v.all().asked + " asked");
                if (rule == null) {
                    assertTrue(v.violations().isEmpty(), "seed " + (i + 1) + ": " + v.violations());
                    assertTrue(v.all().finished > v.all().asked / 2);
                } else {
                    assertTrue(
                            v.byRule().get(rule) > 0,
                            way + ", seed " + (i + 1) + ": " + v.byRule());
                }
            }
        } finally {
            pool.shutdownNow();
        }
    }

    /**
     * A fault, and the lines (event, and what its detail holds) that it must leave, in this order.
     */
    @DataProvider
    public Object[][] faults() {
        String w0 = "\nworker = \"w0\"";
        return new Object[][] {
            {"fail-fast", "", "failed work="},
            {"cut", w0, "cut |back "},
            {"kill", w0, "down |listed DELETED|up from=0.200|listed SERVING"},
            {"kill-on-taking", w0, "lost waiting|down |up from=0.200"},
            {"call-back-lost", "", "untold done"},
            {"call-back-repeated", "\nfactor = 3", "told-oddly 3 times"},
            {"call-back-late", "\nfactor = 40", "told-oddly 40 ms late"},
            {"reset", "\nbytes = 40", "reset after 40"},
            {"answer-cut", "\nbytes = 5", "broke cut"},
            {"discovery-down", "", "down |up "},
            {"discovery-back", "", "begins discovery-back|told SERVING"},
            {
                "drain",
                w0,
                "listed DRAINING|told DRAINING|down |up from=0.200|listed SERVING|told SERVING"
            },
            {
                "rolling",
                "\nevery = \"100ms\"",
                "listed DRAINING|up from=0.200|listed DRAINING|up from="
            },
            {"stall", "", "begins stall|ends stall|ended by"},
        };
    }

    @Test(dataProvider = "faults")
    public void eachFaultLeavesItsTrace(String what, String more, String wanted) throws Exception {
        List<String[]> log = new ArrayList<>();
        play(
                SCENARIO.substring(0, SCENARIO.indexOf("[[fault]]"))
                        + "[[fault]]\nat = \"250ms\"\nfor = \"350ms\"\n"
                        + "what = \""
                        + what
                        + "\""
                        + more
                        + "\n",
                BrokenScheduler.Way.SOUND,
                1,
                log);
        int at = 0;
        boolean begun = false;
        double stood = Double.POSITIVE_INFINITY;
        String[] all = wanted.split("\\|");
        for (String[] line : log) {
            begun |= line[2].equals("begins");
            String[] w = at < all.length ? all[at].split(" ", 2) : new String[] {"", ""};
            at += begun && line[2].equals(w[0]) && line[5].contains(w[1]) ? 1 : 0;
            double time = Double.parseDouble(line[0]);
            stood =
                    !what.equals("stall") || at != 1
                            ? Double.POSITIVE_INFINITY
                            : line[2].equals("begins") ? time : stood;
            // What ended before the stall may be written down after it: the times count.
            assertTrue(
                    !line[2].equals("ended") || time <= stood,
                    String.join(" ", line) + " ran while it stood still from " + stood);
        }
        assertEquals(at, all.length, "missing: " + (at < all.length ? all[at] : ""));
    }

    /**
     * When a connection breaks beside a call to drain that is sent at 100 ms, answered at 300 and
     * noted at 400; whether the request was the first on it; and whether that is a breach.
     */
    @DataProvider
    Object[][] breaks() {
        return new Object[][] {
            {90, true, true},
            {110, true, false},
            {350, true, false},
            {410, true, false},
            {110, false, true},
            {6500, true, true},
        };
    }

    /** Guards the judge: what a drain may close, it may close once the call is on its way. */
    @Test(dataProvider = "breaks")
    public void aRequestThatCrossesADrainIsNoBreach(int at, boolean reused, boolean breach)
            throws IOException {
        Path folder = Files.createTempDirectory("judge");
        try {
            Path clients =
                    Files.writeString(
                            folder.resolve("c.tsv"),
                            "kind\ta\tidempotent\t500\t2000\t2000\tall\t1\t0\n"
                                    + "begin\t0\t9000\n"
                                    + "operators\t0\t/v1/scheduler/drain\t100\t300\t200\ttrue\n"
                                    + "scheduler\t0\tdrained\t400\n"
                                    + "try\t1\t0\tt1\ta\t\t0\t80\t85\t9000\tbroke\t"
                                    + at
                                    + "\tNaN\t"
                                    + reused
                                    + "\t\n");
            Path log =
                    Files.writeString(
                            folder.resolve("e.tsv"), "0\tfleet\trules\t-\t-\tgrace=0 deemed=0\n");
            assertEquals(Judge.judge(clients, log).violations().isEmpty(), !breach);
        } finally {
            Folders.remove(folder);
        }
    }
}
