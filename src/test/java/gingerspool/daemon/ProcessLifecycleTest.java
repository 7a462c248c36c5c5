package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ProcessLifecycleTest {
    private static final double WITHIN = 3400;

    /**
     * Inputs in order: started, drain, activate, succeeded, alone, term, each at time 0 (term
     * within 3400). Then: takes clients, front is told yes, listens, and the last-answer mark and
     * longest idle time at 0, 800, 3000 and 3400 ms.
     */
    @DataProvider
    public Object[][] table() {
        String open = "0:false/none 800:false/none 3000:false/none 3400:false/none";
        String drained = "0:true/none 800:true/200 3000:true/200 3400:true/200";
        String succeeded = "0:true/none 800:true/none 3000:true/none 3400:true/none";
        String leaving = "0:false/none 800:false/none 3000:true/200 3400:true/0";
        return new Object[][] {
            {"", "no yes listens", open},
            {"started", "yes yes listens", open},
            {"started drain", "yes no listens", drained},
            {"drain started", "yes no listens", drained},
            {"started drain drain", "yes no listens", drained},
            {"started activate", "yes yes listens", open},
            {"started drain activate", "yes yes listens", open},
            {"started drain activate drain", "yes no listens", drained},
            {"started succeeded", "no yes not", succeeded},
            {"started succeeded succeeded", "no yes not", succeeded},
            {"started succeeded alone", "yes yes listens", open},
            {"started alone", "yes yes listens", open},
            {"started drain succeeded", "no no not", drained},
            {"started succeeded drain", "no no not", drained},
            {"started succeeded drain activate", "no yes not", succeeded},
            {"started drain succeeded alone", "yes no listens", drained},
            {"started term", "no no listens", leaving},
            {"started term term", "no no listens", leaving},
            {
                "started term drain",
                "no no listens",
                "0:true/none 800:true/200 3000:true/200 3400:true/0"
            },
            {
                "started drain term",
                "no no listens",
                "0:true/none 800:true/200 3000:true/200 3400:true/0"
            },
            {"started term activate", "no no listens", leaving},
            {
                "started term succeeded",
                "no yes not",
                "0:true/none 800:true/none 3000:true/200 3400:true/0"
            },
            {
                "started succeeded term",
                "no yes not",
                "0:true/none 800:true/none 3000:true/200 3400:true/0"
            },
            {"started succeeded term alone", "no no listens", leaving},
            {
                "started succeeded drain term",
                "no no not",
                "0:true/none 800:true/200 3000:true/200 3400:true/0"
            },
            {
                "started succeeded term activate",
                "no yes not",
                "0:true/none 800:true/none 3000:true/200 3400:true/0"
            },
        };
    }

    private static ProcessLifecycle after(String inputs) {
        ProcessLifecycle lifecycle = new ProcessLifecycle();
        for (String input : inputs.split(" ")) {
            switch (input) {
                case "started" -> lifecycle.started();
                case "drain" -> lifecycle.drain(0);
                case "activate" -> lifecycle.activate();
                case "succeeded" -> lifecycle.superseded(0);
                case "alone" -> lifecycle.successorGone();
                case "term" -> lifecycle.shutDown(0, WITHIN);
                default -> {}
            }
        }
        return lifecycle;
    }

    @Test(dataProvider = "table")
    public void eachStateAnswersEachInput(String inputs, String seen, String byTime) {
        ProcessLifecycle lifecycle = after(inputs);
        assertEquals(
                (lifecycle.acceptsClients() ? "yes " : "no ")
                        + (lifecycle.isReady() ? "yes " : "no ")
                        + (lifecycle.needsListener() ? "listens" : "not"),
                seen);
        StringBuilder at = new StringBuilder();
        for (double t : List.of(0.0, 800.0, 3000.0, WITHIN)) {
            double idle = lifecycle.maxIdle(t);
            at.append((int) t)
                    .append(':')
                    .append(lifecycle.closesAfterAnswer(t))
                    .append('/')
                    .append(Double.isInfinite(idle) ? "none" : String.valueOf((int) idle))
                    .append(' ');
        }
        assertEquals(at.toString().strip(), byTime);
    }

    /** Guards rule one: what is out is given up within the span told, and not before it. */
    @Test
    public void itIsOverWithinTheSpanToldAtTheFirstSignal() {
        ProcessLifecycle lifecycle = after("started term");
        lifecycle.shutDown(2000, WITHIN);
        assertTrue(!lifecycle.isShutdownDue(3399) && lifecycle.isShutdownDue(3400));
        assertTrue(!lifecycle.isClosingIdle(2549) && lifecycle.isClosingIdle(2550));
        assertEquals(lifecycle.earliestExit(), 700.0);
        lifecycle.superseded(100);
        assertTrue(lifecycle.isClosingIdle(1360) && !lifecycle.isClosingIdle(1359));
        assertEquals(lifecycle.earliestExit(), 0.0);
    }

    /**
     * Guards tasks of the first in a chain of three: their call-backs come by way of the middle
     * one.
     */
    @Test
    public void whoStandsBetweenTwoOthersStaysUntilItIsOver() {
        ProcessLifecycle lifecycle = after("started");
        lifecycle.superseded(100);
        assertFalse(lifecycle.mayExit(200, false));
        lifecycle.shutDown(1000, WITHIN);
        assertTrue(lifecycle.mayExit(1000, false));
        assertFalse(lifecycle.mayExit(1000 + WITHIN - 1, true));
        assertTrue(lifecycle.mayExit(1000 + WITHIN, true));
    }

    /**
     * A first request under way on a new connection is lost with it: one that leaves keeps new
     * connections to the end. A drained one, whose clients are to be gone after 4 s, keeps them for
     * 3 s, and then for twice the time in which clients still come.
     */
    @Test
    public void connectionsWithoutARequestAreKeptLonger() {
        ProcessLifecycle leaving = after("started succeeded term");
        assertTrue(leaving.isClosingIdle(WITHIN - 1));
        assertEquals(leaving.maxUnusedIdle(WITHIN - 1), Double.POSITIVE_INFINITY);
        assertEquals(leaving.maxUnusedIdle(WITHIN), 0.0);
        ProcessLifecycle drained = after("started drain");
        assertEquals(drained.maxUnusedIdle(800), Double.POSITIVE_INFINITY);
        assertEquals(drained.maxUnusedIdle(2999), Double.POSITIVE_INFINITY);
        assertEquals(drained.maxUnusedIdle(3000), 1400.0);
    }
}
