package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.Socket;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replacements that are late, overlap the end of a process or each other, or stop half way. */
public class OverlappingHandoverTest extends HandoverRig {
    /** Operators are owed an answer by then, in nanoseconds: 1 s. */
    private static final long ANSWER_OWED = 1_000_000_000L;

    /** Operators' calls, by their paths. */
    @DataProvider
    public Object[][] calls() {
        return new Object[][] {
            {"/v1/workers/s-1/suspend"}, {"/v1/scheduler/drain"}, {"/v1/scheduler/activate"}
        };
    }

    /**
     * Guards operators: the second process was killed after it had the state and before it took
     * over, and every call was answered 503 from then on (`handover.joined`, then
     * `handover.notification_failed status=0` 375 to 506 times in 8 s).
     */
    @Test(dataProvider = "calls")
    public void aProcessThatEndsBeforeItTakesOverHoldsNoCallUp(String path) throws Exception {
        Daemon first = start(0, true);
        ready(first);
        String join = JOIN + "}";
        linkCall(first, secretOfNote(), "join", join);
        discovery.close();
        assertEquals(call(first, "POST", path), 200);
        assertEquals(call(first, "POST", path), 200);
    }

    /** Guards operators: the same with a process that is stopped, so that nothing refuses. */
    @Test(dataProvider = "calls")
    public void aProcessThatIsStoppedBeforeItTakesOverHoldsNoCallUp(String path) throws Exception {
        Daemon first = start(0, true);
        ready(first);
        linkCall(first, secretOfNote(), "join", JOIN + "}");
        long since = System.nanoTime();
        assertEquals(call(first, "POST", path), 200);
        assertTrue(System.nanoTime() - since < ANSWER_OWED, "the answer took over 1 s");
        // It goes on after all: it has missed a word, so it has to ask for the state again.
        String taken = linkCall(first, secretOfNote(), "take", "{\"n\":0}");
        assertTrue(taken.startsWith("HTTP/1.1 409 "), taken);
        takeFrom(first);
    }

    /** Guards operators: one that has taken over and is stopped costs a no, and that in time. */
    @Test
    public void anAnswerIsInTimeThoughTheSuccessorIsStopped() throws Exception {
        Daemon first = start(0, true, "'dueTimeMs':100", 700);
        ready(first);
        takeFrom(first);
        Socket held = beginLinkCall(first, secretOfNote(), "hold", "");
        long since = System.nanoTime();
        assertEquals(call(first, "POST", "/v1/workers/s-1/suspend"), 503);
        assertTrue(System.nanoTime() - since < ANSWER_OWED, "the answer took over 1 s");
        held.close();
    }
}
