package gingerspool.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.judge.Judge;
import gingerspool.peers.Folders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Two short scenarios with real schedulers as processes; all rules must hold. */
public class ExperimentTest {
    private static final String KINDS =
            "[profile.search]\nshare = 3\nwork = \"15ms\"\ndue = \"500ms\"\n"
                    + "[profile.copy]\neffect = \"fingerprinted\"\nwork = \"20ms\"\ndue = \"500ms\"\nwindow = \"800ms\"\n"
                    + "[profile.stamp]\neffect = \"side-effecting\"\nwork = \"20ms\"\ndue = \"500ms\"\n";
    private static final String FAULTS =
            "length = \"7s\"\n[fleet]\nworkers = 6\nzones = [\"a\", \"b\"]\n"
                    + "cold = { from = 0.3, warm_within = \"3s\" }\n[schedulers]\ncount = 2\n"
                    + KINDS
                    + "[load]\nrate_per_s = 80\nretries = 1\nleaves = 0.02\nnonsense_per_s = 5\n"
                    + "[[fault]]\nwhat = \"stall\"\nat = \"500ms\"\nfor = \"1s\"\nworkers = 1\n"
                    + "[[fault]]\nwhat = \"cut\"\nat = \"1s\"\nfor = \"1s\"\nworkers = 1\n"
                    + "[[fault]]\nwhat = \"kill\"\nat = \"2s\"\nfor = \"500ms\"\nworkers = 1\n"
                    + "[[fault]]\nwhat = \"drain\"\nat = \"3s\"\nfor = \"1s\"\nworkers = 1\n"
                    + "[[fault]]\nwhat = \"answer-cut\"\nat = \"4s\"\nfor = \"500ms\"\nbytes = 9\nshare = 0.2\n"
                    + "[[fault]]\nwhat = \"discovery-down\"\nat = \"4s\"\nfor = \"1s\"\n"
                    + "[[fault]]\nwhat = \"scheduler-killed\"\nat = \"5s\"\nfor = \"200ms\"\nscheduler = 1\n";

    private Path folder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("experiment");
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        Folders.remove(folder);
    }

    private String play(String scenario, int wanted, Path against) throws Exception {
        Path file = Files.writeString(folder.resolve("s.toml"), scenario);
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        int code =
                Experiment.run(
                        file, 1, against, null, folder.resolve("out"), new PrintStream(said, true));
        String text = said.toString(StandardCharsets.UTF_8);
        assertEquals(code, wanted, text);
        return text;
    }

    @Test
    public void aCalmDayKeepsAllRulesAndIsReported() throws Exception {
        Path other =
                Files.writeString(
                        folder.resolve("other.toml"),
                        "[profile.search]\neffect = \"idempotent\"\n"
                                + "expiry = \"2s\"\n[[route]]\nname = \"r\"\nmatch.profile = \"search\"\nassignments = 1\n");
        String text =
                play(
                        "length = \"2s\"\n" + KINDS + "[load]\nrate_per_s = 60\n",
                        Experiment.HELD,
                        other);
        assertTrue(text.contains("all rules held") && text.contains("service: "), text);
        String json = Files.readString(folder.resolve("out/result.json"));
        assertTrue(json.contains("\"rulesBroken\" : 0"), json);
        assertTrue(json.contains("\"latencyMs\"") && json.contains("\"offered\" : "), json);
        String html = Files.readString(folder.resolve("out/report.html"));
        assertTrue(
                html.contains("<svg") && !html.contains("http://cdn") && !html.contains("src="),
                "a whole file");
        String plan = Files.readString(folder.resolve("out/a-1/plan.txt"));
        assertEquals(Files.readString(folder.resolve("out/b-1/plan.txt")), plan);
    }

    @Test
    public void aDayWithFaultsKeepsAllRules() throws Exception {
        play(FAULTS, Experiment.HELD, null);
    }

    /**
     * Upgrades, a killed heir, a drain and a ban under load, judged by clients' and workers'
     * records.
     */
    @Test
    public void dayToDayKeepsAllRules() throws Exception {
        play(
                "length = \"7s\"\n[fleet]\nworkers = 4\n[schedulers]\ncount = 2\n"
                        + KINDS
                        + "[load]\nrate_per_s = 80\nretries = 1\n"
                        + "[[fault]]\nwhat = \"scheduler-replaced\"\nat = \"500ms\"\nscheduler = 0\n"
                        + "[[fault]]\nwhat = \"heir-killed\"\nat = \"1s\"\nfor = \"450ms\"\nscheduler = 1\n"
                        + "[[fault]]\nwhat = \"suspend\"\nat = \"1500ms\"\nfor = \"3s\"\nworker = \"w1\"\n"
                        + "[[fault]]\nwhat = \"kill\"\nat = \"2500ms\"\nfor = \"300ms\"\nworker = \"w1\"\n"
                        + "[[fault]]\nwhat = \"scheduler-drained\"\nat = \"2s\"\nfor = \"1s\"\nscheduler = 1\n"
                        + "[[fault]]\nwhat = \"scheduler-replaced\"\nat = \"3500ms\"\nscheduler = 0\n",
                Experiment.HELD,
                null);
        String log = Files.readString(folder.resolve("out/a-1/n0.log"));
        assertEquals(log.split("handover.retired", -1).length, 3, log);
        String clients = Files.readString(folder.resolve("out/a-1/clients.tsv"));
        assertTrue(clients.contains("\tsuspended w1\t") && clients.contains("\tresumed w1\t"));
    }

    /**
     * What a scheduler sends to a worker after its yes to the ban, and before the call back, is
     * found.
     */
    @Test
    public void aSendUnderABanIsABreach() throws Exception {
        Path clients =
                Files.writeString(
                        folder.resolve("c.tsv"),
                        "begin\t0\t1000\n"
                                + "scheduler\t0\tsuspended w1\t100\nscheduler\t0\tresumed w1\t500\n");
        String rules = "0\tfleet\trules\t-\t-\tgrace=0 deemed=0\n";
        String[] asked = {
            "120\tw1\tasked\tt1\t0\tfirst=120",
            "300\tw2\tasked\tt2\t0\tfirst=300",
            "300\tw1\tasked\tt3\t1\tfirst=300",
            "310\tw1\tasked\tt4\t0\tfirst=310",
            "510\tw1\tasked\tt5\t0\tfirst=510"
        };
        Path log =
                Files.writeString(folder.resolve("e.tsv"), rules + String.join("\n", asked) + "\n");
        List<Judge.Violation> found = Judge.judge(clients, log).violations();
        assertEquals(
                found.stream().map(Judge.Violation::task).toList(),
                List.of("t4"),
                found.toString());
        assertEquals(found.get(0).rule(), Judge.Rule.BANS);
    }

    @Test
    public void aBadScenarioIsExitCodeTwo() throws Exception {
        assertTrue(
                play("length = 5\n", Experiment.BAD, null)
                        .contains("s.toml:1: length has no unit"));
    }
}
