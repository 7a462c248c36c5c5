package gingerspool.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotSame;

import java.util.HashMap;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sun.misc.Signal;
import sun.misc.SignalHandler;

public class NodeProgramTest {
    private static final Signal HANGUP = new Signal("HUP");

    private final SignalHandler ownHandler = signal -> {};
    private SignalHandler handlerBefore;

    @BeforeMethod
    public void installOwnHandler() {
        handlerBefore = Signal.handle(HANGUP, ownHandler);
    }

    @AfterMethod
    public void restoreHandler() {
        Signal.handle(HANGUP, handlerBefore);
    }

    @DataProvider
    public Object[][] programs() {
        return List.of("scheduler", "control").stream()
                .map(program -> new Object[] {program})
                .toArray(Object[][]::new);
    }

    /** An environment without settings that takes the handler of SIGHUP as it is first read. */
    private static final class Environment extends HashMap<String, String> {
        private static final long serialVersionUID = 1;
        private transient SignalHandler handlerAtFirstRead;

        @Override
        public String get(Object key) {
            if (handlerAtFirstRead == null) {
                handlerAtFirstRead = Signal.handle(HANGUP, SignalHandler.SIG_IGN);
            }
            return super.get(key);
        }
    }

    /** Guards against a SIGHUP during the start, which ended the process without a word. */
    @Test(dataProvider = "programs")
    public void hangupIsHandledBeforeTheSettingsAreRead(String program) {
        Environment environment = new Environment();
        assertEquals(NodeProgram.run(program, environment), 2, "there are no settings");
        assertNotSame(environment.handlerAtFirstRead, ownHandler);
    }
}
