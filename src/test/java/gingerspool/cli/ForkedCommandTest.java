package gingerspool.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.experiment.Experiment;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A command in a virtual machine of its own. */
public class ForkedCommandTest {
    @DataProvider
    public Object[][] commands() {
        return new Object[][] {
            {List.of("experiment", "--help"), 0},
            {List.of("experiment", "/none/such.toml", "--out", "/tmp/x"), Experiment.BAD},
            {List.of("experiment"), 2},
        };
    }

    /** Guards scripts: the exit code says which rules held. */
    @Test(dataProvider = "commands")
    public void itsExitCodeIsHandedBack(List<String> arguments, int code) throws Exception {
        assertEquals(ForkedCommand.run(Experiment.ownProgram(), arguments), code);
    }

    /** Guards against a command that forks for ever. */
    @Test
    public void theOneThatIsForkedForksNoMore() {
        assertTrue(ForkedCommand.isNeeded(List.of("-Xmx1g")));
        assertFalse(ForkedCommand.isNeeded(List.of("-Xmx1g", "-XX:TieredStopAtLevel=1")));
    }
}
