package gingerspool.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Two short scenarios with real schedulers as processes; all rules must hold. */
public class ExperimentTest {
    private static final String KINDS = "[profile.search]\nshare = 3\nwork = \"15ms\"\ndue = \"500ms\"\n"
        + "[profile.copy]\neffect = \"fingerprinted\"\nwork = \"20ms\"\ndue = \"500ms\"\nwindow = \"800ms\"\n"
        + "[profile.stamp]\neffect = \"side-effecting\"\nwork = \"20ms\"\ndue = \"500ms\"\n";
    private static final String FAULTS = "length = \"7s\"\n[fleet]\nworkers = 6\nzones = [\"a\", \"b\"]\n"
        + "cold = { from = 0.3, warm_within = \"3s\" }\n[schedulers]\ncount = 2\n" + KINDS
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
        int code = Experiment.run(file, 1, against, null, folder.resolve("out"), new PrintStream(said, true));
        String text = said.toString(StandardCharsets.UTF_8);
        assertEquals(code, wanted, text);
        return text;
    }

    @Test
    public void aCalmDayKeepsAllRulesAndIsReported() throws Exception {
        Path other = Files.writeString(folder.resolve("other.toml"),
            "[profile.search]\neffect = \"idempotent\"\n"
            + "expiry = \"2s\"\n[[route]]\nname = \"r\"\nmatch.profile = \"search\"\nassignments = 1\n");
        String text = play("length = \"2s\"\n" + KINDS + "[load]\nrate_per_s = 60\n", Experiment.HELD, other);
        assertTrue(text.contains("all rules held") && text.contains("service: "), text);
        String json = Files.readString(folder.resolve("out/result.json"));
        assertTrue(json.contains("\"rulesBroken\" : 0"), json);
        assertTrue(json.contains("\"latencyMs\"") && json.contains("\"offered\" : "), json);
        String html = Files.readString(folder.resolve("out/report.html"));
        assertTrue(html.contains("<svg") && !html.contains("http://cdn") && !html.contains("src="),
            "a whole file");
        String plan = Files.readString(folder.resolve("out/a-1/plan.txt"));
        assertEquals(Files.readString(folder.resolve("out/b-1/plan.txt")), plan);
    }

    @Test
    public void aDayWithFaultsKeepsAllRules() throws Exception {
        play(FAULTS, Experiment.HELD, null);
    }

    @Test
    public void aBadScenarioIsExitCodeTwo() throws Exception {
        assertTrue(play("length = 5\n", Experiment.BAD, null).contains("s.toml:1: length has no unit"));
    }
}
