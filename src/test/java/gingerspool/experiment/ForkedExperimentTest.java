package gingerspool.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An experiment in a virtual machine of its own. */
public class ForkedExperimentTest {
    private static final String NO_FILE = "/none/such.toml";

    @DataProvider
    public Object[][] commands() {
        return new Object[][] {
            {List.of("--help"), Experiment.HELD, "SCENARIO"},
            {List.of(NO_FILE, "--out", "/tmp/x"), Experiment.BAD, NO_FILE},
        };
    }

    /**
     * Guards scripts and tests: the exit code says which rules held, and the output which broke.
     */
    @Test(dataProvider = "commands")
    public void itsExitCodeAndOutputAreHandedBack(List<String> arguments, int code, String said)
            throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertEquals(ForkedExperiment.run(arguments, new PrintStream(out, true)), code);
        String text = out.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains(said), text);
    }

    /** Guards against one that forks for ever. */
    @Test
    public void theOneThatIsForkedForksNoMore() {
        assertTrue(ForkedExperiment.isNeeded(List.of("-Xmx1g")));
        assertFalse(ForkedExperiment.isNeeded(List.of("-Xmx1g", "-XX:TieredStopAtLevel=1")));
    }
}
