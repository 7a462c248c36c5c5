package gingerspool.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PlanTest {
    static final String KINDS =
            "[profile.a]\nshare = 3\nwork = \"30ms\"\nspread = 0.7\nhint_spread = 0.3\n"
                    + "[profile.b]\neffect = \"side-effecting\"\nwork = \"10ms\"\ntail = 2.5\n[tenant.t]\nshare = "
                    + "2\n[tenant.u]\n";

    static ScenarioFile read(String text) throws IOException {
        Path file = Files.createTempFile("scenario", ".toml");
        try {
            return ScenarioFile.read(Files.writeString(file, text));
        } finally {
            Files.delete(file);
        }
    }

    static Scenario scenario(String text) throws IOException {
        ScenarioFile f = read(text);
        assertEquals(f.faults(), List.of());
        return f.scenario();
    }

    private static Plan plan(String text, long seed) throws IOException {
        return Plan.make(scenario(text), seed, Path.of("."));
    }

    private static final String LONG = "length = \"100s\"\n" + KINDS + "[load]\nrate_per_s = 200\n";

    @Test
    public void theSameSeedGivesTheSamePlanToTheByte() throws IOException {
        String faults = "[[fault]]\nwhat = \"stall\"\nat = \"1s\"\nworkers = 2\n";
        assertEquals(plan(LONG + faults, 5).text(), plan(LONG + faults, 5).text());
        assertNotEquals(plan(LONG, 5).text(), plan(LONG, 6).text());
    }

    /**
     * A fault more leaves the requests as they were: sides of a comparison must differ in one thing
     * only.
     */
    @Test
    public void anotherFaultLeavesTheRequestsAlone() throws IOException {
        String without =
                plan(LONG, 5)
                        .text()
                        .lines()
                        .filter(l -> l.startsWith("request"))
                        .collect(Collectors.joining());
        String with =
                plan(LONG + "[[fault]]\nwhat = \"stall\"\nat = \"1s\"\nworkers = 2\n", 5)
                        .text()
                        .lines()
                        .filter(l -> l.startsWith("request"))
                        .collect(Collectors.joining());
        assertEquals(with, without);
    }

    /** Kolmogorov and Smirnov: gaps against the exponential distribution, at one in a thousand. */
    @Test
    public void poissonArrivalsHaveExponentialGaps() throws IOException {
        List<Plan.Request> all = plan(LONG, 3).requests;
        double[] gaps = new double[all.size() - 1];
        for (int i = 0; i < gaps.length; i++) {
            gaps[i] = all.get(i + 1).due() - all.get(i).due();
        }
        Arrays.sort(gaps);
        double most = 0;
        for (int i = 0; i < gaps.length; i++) {
            double p = 1 - Math.exp(-gaps[i] * 0.2);
            most =
                    Math.max(
                            most,
                            Math.max(
                                    Math.abs(p - (double) i / gaps.length),
                                    Math.abs(p - (i + 1.0) / gaps.length)));
        }
        assertTrue(most < 1.95 / Math.sqrt(gaps.length), "distance " + most + " of " + gaps.length);
    }

    @Test
    public void burstsAndRampsFollowTheirRate() throws IOException {
        Plan bursts =
                plan(
                        "length = \"100s\"\n"
                                + KINDS
                                + "[load]\nrate_per_s = 100\narrivals = \"bursts\"\n"
                                + "burst = { every = \"2s\", length = \"500ms\", factor = 4 }\n",
                        3);
        long in = bursts.requests.stream().filter(r -> r.due() % 2000 < 500).count();
        assertEquals((double) in, 50 * 0.5 * 400, 4 * Math.sqrt(10_000));
        assertEquals((double) bursts.requests.size() - in, 50 * 1.5 * 100, 4 * Math.sqrt(7500));
        Plan ramp =
                plan(
                        "length = \"100s\"\n"
                                + KINDS
                                + "[load]\nrate_per_s = 50\narrivals = \"ramp\"\n"
                                + "ramp_to = 150\n",
                        3);
        long first = ramp.requests.stream().filter(r -> r.due() < 50_000).count();
        assertEquals((double) first, 50 * 75.0, 4 * Math.sqrt(3750));
        assertEquals((double) ramp.requests.size(), 100 * 100.0, 4 * Math.sqrt(10_000));
    }

    @Test
    public void worksAndSharesAreAsTheScenarioSays() throws IOException {
        List<Plan.Request> all = plan(LONG, 4).requests;
        double n = all.size();
        List<Plan.Request> a =
                all.stream().filter(r -> r.profile().equals("a")).collect(Collectors.toList());
        assertEquals(a.size() / n, 0.75, 4 * Math.sqrt(0.75 * 0.25 / n));
        assertEquals(all.stream().filter(r -> r.tenant().equals("t")).count() / n, 2 / 3.0, 0.02);
        assertEquals(a.stream().mapToDouble(Plan.Request::work).average().orElse(0), 30, 1);
        double b =
                all.stream()
                        .filter(r -> r.profile().equals("b"))
                        .mapToDouble(Plan.Request::work)
                        .average()
                        .orElse(0);
        assertEquals(b, 10, 1);
    }

    @Test
    public void aTraceIsFollowedAndItsFaultsAreNamed() throws IOException {
        Path folder = Files.createTempDirectory("trace");
        Path trace =
                Files.writeString(
                        folder.resolve("t.txt"), "# ms profile tenant work\n5 a t 12\n7.5 b\n");
        Scenario s = scenario(KINDS + "[load]\narrivals = \"trace\"\ntrace = \"t.txt\"\n");
        List<Plan.Request> all = Plan.make(s, 1, folder).requests;
        assertEquals(all.size(), 2);
        assertEquals(all.get(0).work(), 12.0);
        assertEquals(all.get(1).profile(), "b");
        Files.writeString(trace, "5 a\nsoon b\n");
        try {
            Plan.make(s, 1, folder);
            assertTrue(false, "a bad line was taken");
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("t.txt:2: "), e.getMessage());
        }
        Files.delete(trace);
        Files.delete(folder);
    }

    @DataProvider
    public Object[][] bad() {
        return new Object[][] {
            {"length = 5\n" + KINDS, ":1: length has no unit"},
            {"lenght = \"5s\"\n" + KINDS, ":1: lenght is not a key here, did you mean length?"},
            {"seed = 1\n", "profile is missing"},
            {
                KINDS + "[[fault]]\nwhat = \"stal\"\n",
                "fault[0].what is \"stal\", wanted one of stall"
            },
            {KINDS + "[[fault]]\nat = \"1s\"\n", "fault[0] has no what"},
            {KINDS + "[[fault]]\nwhat = \"stall\"\nat = \"11s\"\n", "fault[0].at is after the end"},
            {
                KINDS + "[[fault]]\nwhat = \"stall\"\nworkers = 9\n",
                "fault[0].workers is more than the fleet has, 4"
            },
            {
                KINDS + "[[fault]]\nwhat = \"stall\"\nzone = \"x\"\n",
                "fault[0].zone is \"x\", wanted one of a"
            },
            {
                KINDS + "[[fault]]\nwhat = \"stall\"\nzone = \"a\"\nworkers = 1\n",
                "says in more than one way"
            },
            {
                KINDS + "[[fault]]\nwhat = \"stall\"\nfactor = 3\n",
                "fault[0].factor has no effect on stall"
            },
            {
                KINDS + "[[fault]]\nwhat = \"scheduler-killed\"\nscheduler = 1\n",
                "there are 1, counted from 0"
            },
            {
                KINDS + "[[fault]]\nwhat = \"scheduler-killed\"\nprocess = \"newest\"\n",
                "fault[0].process has no effect on scheduler-killed"
            },
            {
                KINDS + "[[fault]]\nwhat = \"scheduler-paused\"\nprocess = \"first\"\n",
                "fault[0].process is \"first\", wanted one of serving, newest, before"
            },
            {
                KINDS + "[[fault]]\nwhat = \"tool-paused\"\nfor = \"11s\"\n",
                "fault[0].for pauses for 11000 ms, wanted 10s or less"
            },
            {
                KINDS + "[[fault]]\nwhat = \"disk-slow\"\nscheduler = 0\n",
                "fault[0].scheduler has no effect on disk-slow"
            },
            {KINDS + "[profile.c]\nwidth = 9\n", "profile.c.width is more than any worker has"},
            {KINDS + "[profile.c]\ndue = \"5s\"\n", "profile.c.due is beyond the expiry"},
            {KINDS + "[load]\narrivals = \"trace\"\n", "load needs trace"},
            {KINDS + "[fleet]\nzones = []\n", "fleet.zones is empty"},
        };
    }

    @Test(dataProvider = "bad")
    public void aBadScenarioIsRefusedWithLineAndKey(String text, String wanted) throws IOException {
        assertTrue(
                read(text).faults().stream().anyMatch(f -> f.toString().contains(wanted)),
                "wanted " + wanted + ", told " + read(text).faults());
    }
}
