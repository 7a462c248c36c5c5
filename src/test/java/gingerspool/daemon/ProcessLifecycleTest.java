package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The state of the process lifecycle after each sequence of events, and what it allows at each
 * time.
 */
public class ProcessLifecycleTest {
    private static final double SHUTDOWN_PERIOD_MS = 3400;

    /**
     * Each case: the events in order (started, drain, activate, superseded, alone for the loss of
     * the successor, term for a shutdown within 3400 ms), each at time 0; then whether the process
     * accepts clients, whether health checks are told yes, and whether it needs a listener; then,
     * at 0, 800, 3000 and 3400 ms, whether connections close after their answer, and the maximum
     * idle time.
     */
    @DataProvider
    public Object[][] table() {
        String serving = "0:false/none 800:false/none 3000:false/none 3400:false/none";
        String drained = "0:true/none 800:true/200 3000:true/200 3400:true/200";
        String superseded = "0:true/none 800:true/none 3000:true/none 3400:true/none";
        String shuttingDown = "0:false/none 800:false/none 3000:true/200 3400:true/0";
        return new Object[][] {
            {"", "no yes listens", serving},
            {"started", "yes yes listens", serving},
            {"started drain", "yes no listens", drained},
            {"drain started", "yes no listens", drained},
            {"started drain drain", "yes no listens", drained},
            {"started activate", "yes yes listens", serving},
            {"started drain activate", "yes yes listens", serving},
            {"started drain activate drain", "yes no listens", drained},
            {"started superseded", "no yes not", superseded},
            {"started superseded superseded", "no yes not", superseded},
            {"started superseded alone", "yes yes listens", serving},
            {"started alone", "yes yes listens", serving},
            {"started drain superseded", "no no not", drained},
            {"started superseded drain", "no no not", drained},
            {"started superseded drain activate", "no yes not", superseded},
            {"started drain superseded alone", "yes no listens", drained},
            {"started term", "no no listens", shuttingDown},
            {"started term term", "no no listens", shuttingDown},
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
            {"started term activate", "no no listens", shuttingDown},
            {
                "started term superseded",
                "no yes not",
                "0:true/none 800:true/none 3000:true/200 3400:true/0"
            },
            {
                "started superseded term",
                "no yes not",
                "0:true/none 800:true/none 3000:true/200 3400:true/0"
            },
            {"started superseded term alone", "no no listens", shuttingDown},
            {
                "started superseded drain term",
                "no no not",
                "0:true/none 800:true/200 3000:true/200 3400:true/0"
            },
            {
                "started superseded term activate",
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
                case "superseded" -> lifecycle.superseded(0);
                case "alone" -> lifecycle.successorGone();
                case "term" -> lifecycle.shutDown(0, SHUTDOWN_PERIOD_MS);
                default -> {}
            }
        }
        return lifecycle;
    }

    @Test(dataProvider = "table")
    public void stateAfterInputs(String inputs, String state, String byTime) {
        ProcessLifecycle lifecycle = after(inputs);
        assertEquals(
                (lifecycle.acceptsClients() ? "yes " : "no ")
                        + (lifecycle.isReady() ? "yes " : "no ")
                        + (lifecycle.needsListener() ? "listens" : "not"),
                state);
        StringBuilder times = new StringBuilder();
        for (double now : List.of(0.0, 800.0, 3000.0, SHUTDOWN_PERIOD_MS)) {
            double idle = lifecycle.maxIdle(now);
            times.append((int) now)
                    .append(':')
                    .append(lifecycle.closesAfterAnswer(now))
                    .append('/')
                    .append(Double.isInfinite(idle) ? "none" : String.valueOf((int) idle))
                    .append(' ');
        }
        assertEquals(times.toString().strip(), byTime);
    }

    /**
     * Guards rule one: unanswered tasks are abandoned at the end of the shutdown period, not
     * before, and a second signal does not prolong it.
     */
    @Test
    public void shutdownPeriodRunsFromTheFirstSignal() {
        ProcessLifecycle lifecycle = after("started term");
        lifecycle.shutDown(2000, SHUTDOWN_PERIOD_MS);
        assertTrue(!lifecycle.isShutdownDue(3399) && lifecycle.isShutdownDue(3400));
        assertTrue(!lifecycle.isClosingIdle(2549) && lifecycle.isClosingIdle(2550));
        assertEquals(lifecycle.earliestExit(), 700.0);
        lifecycle.superseded(100);
        assertTrue(lifecycle.isClosingIdle(1360) && !lifecycle.isClosingIdle(1359));
        assertEquals(lifecycle.earliestExit(), 0.0);
    }

    /**
     * Guards tasks of the first process in a chain of three: their callbacks arrive by way of the
     * middle one.
     */
    @Test
    public void processBetweenTwoOthersStaysUntilShutdownIsDue() {
        ProcessLifecycle lifecycle = after("started");
        lifecycle.superseded(100);
        assertFalse(lifecycle.mayExit(200, false));
        lifecycle.shutDown(1000, SHUTDOWN_PERIOD_MS);
        assertTrue(lifecycle.mayExit(1000, false));
        assertFalse(lifecycle.mayExit(1000 + SHUTDOWN_PERIOD_MS - 1, true));
        assertTrue(lifecycle.mayExit(1000 + SHUTDOWN_PERIOD_MS, true));
    }

    /**
     * A first request in flight on a new connection is lost if the connection is closed, so a
     * process that shuts down keeps new connections to the end. A drained process, whose clients
     * must be disconnected after 4 s, keeps them for 3 s, and then for twice the redirect delay.
     */
    @Test
    public void unusedConnectionsAreKeptLonger() {
        ProcessLifecycle shuttingDown = after("started superseded term");
        assertTrue(shuttingDown.isClosingIdle(SHUTDOWN_PERIOD_MS - 1));
        assertEquals(shuttingDown.maxUnusedIdle(SHUTDOWN_PERIOD_MS - 1), Double.POSITIVE_INFINITY);
        assertEquals(shuttingDown.maxUnusedIdle(SHUTDOWN_PERIOD_MS), 0.0);
        ProcessLifecycle drained = after("started drain");
        assertEquals(drained.maxUnusedIdle(800), Double.POSITIVE_INFINITY);
        assertEquals(drained.maxUnusedIdle(2999), Double.POSITIVE_INFINITY);
        assertEquals(drained.maxUnusedIdle(3000), 1400.0);
    }
}
