package gingerspool.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.judge.Cause;
import gingerspool.judge.Judge;
import gingerspool.judge.Verdict;
import gingerspool.peers.Folders;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Late and missing answers beside the disturbances that a play's own record tells, written by hand.
 * The request is written at 100 ms and expires at 1000.
 */
public class LateAnswersTest {
    private static final String HEAD =
            "kind\ta\tidempotent\t500\t900\t2000\tall\t1\t0\nbegin\t0\t9000\n";
    private static final String RULES = "0\tfleet\trules\t-\t-\tgrace=0 deemed=0\n";

    private Path folder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("late");
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        Folders.remove(folder);
    }

    private Verdict judge(String... lines) throws IOException {
        Path clients =
                Files.writeString(folder.resolve("c.tsv"), HEAD + String.join("\n", lines) + "\n");
        return Judge.judge(clients, Files.writeString(folder.resolve("e.tsv"), RULES));
    }

    private static String ended(String status, int at) {
        return "try\t1\t0\tt1\ta\t\t0\t100\t100\t1000\t"
                + status
                + "\t"
                + at
                + "\tNaN\ttrue\t\t100";
    }

    private static String paused(int scheduler, int from, int until) {
        return "scheduler\t"
                + scheduler
                + "\tpaused\t"
                + from
                + "\nscheduler\t"
                + scheduler
                + "\tcontinued\t"
                + until;
    }

    private static String toolPaused(int from, int until) {
        return "tool\tpaused\t" + from + "\ntool\tcontinued\t" + until;
    }

    private static String toolLate(int from, int until) {
        return "tool\tlate\t" + from + "\t" + until + "\t1\t2\t3";
    }

    /** What stands in the record, how the request ended and when, and the cause that is found. */
    @DataProvider
    public Object[][] records() {
        String twice = paused(0, 900, 1300) + "\n" + paused(0, 1400, 1800);
        return new Object[][] {
            {"no record", "", "503", 1051, Cause.UNEXPLAINED},
            {"no record, no answer", "", "none", 2000, Cause.UNEXPLAINED},
            {"paused over the expiry", paused(0, 900, 1800), "503", 2050, Cause.SCHEDULER_PAUSED},
            {"too long after it went on", paused(0, 900, 1800), "503", 2051, Cause.UNEXPLAINED},
            {"ended long before", paused(0, 200, 600), "503", 1060, Cause.UNEXPLAINED},
            {"went on just before", paused(0, 200, 990), "503", 1240, Cause.SCHEDULER_PAUSED},
            {"paused after the expiry", paused(0, 1001, 1800), "503", 1810, Cause.UNEXPLAINED},
            {"another scheduler", paused(1, 900, 1800), "503", 1810, Cause.UNEXPLAINED},
            {"paused again in no time", twice, "503", 1900, Cause.SCHEDULER_PAUSED},
            {"given up meanwhile", paused(0, 900, 2100), "none", 2000, Cause.SCHEDULER_PAUSED},
            {"given up in time after it", paused(0, 900, 1700), "none", 2000, Cause.UNEXPLAINED},
            {"paused, and broke", paused(0, 900, 1800), "broke", 1810, Cause.UNEXPLAINED},
            {"the tool paused", toolPaused(990, 1500), "503", 1520, Cause.TOOL_LATE},
            {"the tool late", toolLate(1040, 1500), "503", 1540, Cause.TOOL_LATE},
            {"the tool late, no answer", toolLate(990, 2200), "none", 2205, Cause.TOOL_LATE},
            {
                "late in two spans",
                toolLate(990, 1200) + "\n" + toolLate(1240, 1500),
                "503",
                1500,
                Cause.TOOL_LATE
            },
            {
                "late, on time, late",
                toolLate(990, 1200) + "\n" + toolLate(1300, 1500),
                "503",
                1500,
                Cause.UNEXPLAINED
            },
            {"the tool late long before", toolLate(200, 600), "503", 1500, Cause.UNEXPLAINED},
            {
                "the tool late after the expiry",
                toolLate(1060, 1500),
                "503",
                1500,
                Cause.UNEXPLAINED
            },
            {"on time when it came", toolLate(990, 1400), "503", 1460, Cause.UNEXPLAINED},
            {"paused as it wrote", toolPaused(95, 700), "503", 1600, Cause.TOOL_LATE},
            {"later than that delay", toolPaused(95, 700), "503", 1660, Cause.UNEXPLAINED},
            {"the tool late, and broke", toolLate(990, 1500), "broke", 1500, Cause.UNEXPLAINED},
        };
    }

    /** Guards the rule: nothing but the play's own record explains a late or missing answer. */
    @Test(dataProvider = "records")
    public void aLateAnswerIsExplainedByTheRecordAlone(
            String what, String record, String status, int at, Cause cause) throws IOException {
        Verdict v = judge((record.isEmpty() ? "" : record + "\n") + ended(status, at));
        boolean explained = cause == Cause.SCHEDULER_PAUSED;
        List<Judge.Violation> found = explained ? v.explained() : v.violations();
        assertEquals(found.stream().map(Judge.Violation::cause).toList(), List.of(cause), what);
        assertEquals(found.get(0).rule(), Judge.Rule.ONE_ANSWER);
        assertEquals(v.violations().size() + v.explained().size(), 1, what);
        assertEquals(v.isVoid(), cause == Cause.TOOL_LATE, what);
        assertEquals(v.broken(), cause == Cause.UNEXPLAINED ? 1 : 0, what);
    }

    /** The text names the pause, and how soon after it the answer came. */
    @Test
    public void theCauseStandsInTheText() throws IOException {
        String text = judge(paused(0, 900, 1800), ended("503", 1812)).explained().get(0).toString();
        assertTrue(
                text.contains(
                        "its scheduler was paused from 900.0 to 1800.0 ms, answered 12.0 ms after it"
                                + " went on"),
                text);
        text = judge(ended("503", 1812)).violations().get(0).toString();
        assertTrue(text.endsWith("; unexplained"), text);
    }

    /**
     * One breach that the tool does not explain is enough: the play counts, with all its breaches.
     */
    @Test
    public void aPlayIsVoidOnlyIfTheToolExplainsEveryBreach() throws IOException {
        String other = "try\t2\t0\tt2\ta\t\t0\t100\t100\t5000\t503\t5100\tNaN\ttrue\t\t100";
        Verdict v = judge(toolLate(990, 1500), ended("503", 1500), other);
        assertEquals(v.violations().size(), 2);
        assertTrue(!v.isVoid());
        assertEquals(v.broken(), 2);
    }

    /** What a pause explains does not keep a play from being void, nor does it make it so. */
    @Test
    public void whatAPauseExplainsDecidesNothing() throws IOException {
        String other = "try\t2\t0\tt2\ta\t\t1\t100\t100\t5000\t503\t5100\tNaN\ttrue\t\t100";
        String pause = paused(1, 4900, 5050);
        assertTrue(judge(toolLate(990, 1500), pause, ended("503", 1500), other).isVoid());
        Verdict v = judge(pause, other);
        assertTrue(!v.isVoid() && v.violations().isEmpty() && v.explained().size() == 1);
    }

    /** Answer and end of an operators' call sent at 100 ms, what was recorded, and the cause. */
    @DataProvider
    public Object[][] calls() {
        return new Object[][] {
            {200, 1400, paused(0, 500, 900), Cause.SCHEDULER_PAUSED},
            {200, 1600, paused(0, 500, 900), Cause.UNEXPLAINED},
            {0, 1100, paused(0, 500, 900), Cause.SCHEDULER_PAUSED},
            {0, 1100, paused(0, 500, 510), Cause.UNEXPLAINED},
            {0, 110, paused(0, 50, 900), Cause.UNEXPLAINED},
            {503, 1000, paused(0, 500, 900), Cause.UNEXPLAINED},
            {200, 1400, paused(1, 500, 900), Cause.UNEXPLAINED},
            {200, 1400, toolPaused(500, 900), Cause.TOOL_LATE},
            {0, 1400, toolPaused(500, 900), Cause.UNEXPLAINED},
            {200, 1400, toolLate(500, 900), Cause.UNEXPLAINED},
        };
    }

    /** A process that stands still can't say yes: its time to do so is what it had. */
    @Test(dataProvider = "calls")
    public void aLateYesIsExplainedByAPause(int answer, int ended, String record, Cause cause)
            throws IOException {
        String call = "operators\t0\t/v1/scheduler/drain\t100\t" + ended + "\t" + answer + "\ttrue";
        Verdict v = judge(record, call);
        List<Judge.Violation> found =
                cause == Cause.SCHEDULER_PAUSED ? v.explained() : v.violations();
        assertEquals(found.stream().map(Judge.Violation::cause).toList(), List.of(cause));
        assertEquals(found.get(0).rule(), Judge.Rule.OPERATORS);
    }

    /**
     * Answers are timed by the thread that reads them: one that it read in the middle of the loop's
     * lateness shows that it was on time, so that a late answer after that came late.
     */
    @Test
    public void aLoopThatWasLateAloneExplainsNoLateAnswer() throws IOException {
        String inTime = "try\t%d\t0\tt%d\ta\t\t0\t100\t100\t5000\t503\t%d\tNaN\ttrue\t\t100\n";
        StringBuilder read = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            read.append(String.format(inTime, i + 2, i + 2, 1100 + 100 * i));
        }
        Verdict v = judge(toolLate(990, 1500), read + ended("503", 1450));
        assertEquals(v.violations().get(0).cause(), Cause.UNEXPLAINED);
        assertTrue(!v.isVoid());
    }

    /**
     * A request that the loop wrote while its timers were late went out then: only a stop of the
     * tool, and not a loop that has much to do, delays it after its time was told.
     */
    @Test
    public void aLoopThatWroteWhileItWasLateExplainsNoLateAnswer() throws IOException {
        StringBuilder others = new StringBuilder();
        String wrote = "try\t%d\t0\tt%d\ta\t\t0\t100\t100\t5000\t503\t900\tNaN\ttrue\t\t%d\n";
        for (int i = 0; i < 4; i++) {
            others.append(String.format(wrote, i + 2, i + 2, 150 + 100 * i));
        }
        Verdict v = judge(toolLate(90, 600), others + ended("503", 1450));
        assertEquals(v.violations().get(0).cause(), Cause.UNEXPLAINED);
        assertTrue(!v.isVoid());
    }

    private static String pausedBeside(int othersAtBegin, int othersSince) {
        String line = "scheduler\t0\t%s\t%d\t4711\t%d";
        return String.format(line, "paused", 900, othersAtBegin)
                + "\n"
                + String.format(line, "continued", 1800, othersSince);
    }

    /** What was written of the pause and the processes beside the paused one, and the cause. */
    @DataProvider
    public Object[][] pausesInHandOvers() {
        String heirKilled = "scheduler\t0\their-killed\t%d\n";
        return new Object[][] {
            {"alone", pausedBeside(0, 0), Cause.SCHEDULER_PAUSED},
            {"another lived", pausedBeside(1, 1), Cause.UNEXPLAINED},
            {"another was started meanwhile", pausedBeside(0, 1), Cause.UNEXPLAINED},
            {
                "an heir was killed meanwhile",
                String.format(heirKilled, 1000) + pausedBeside(0, 0),
                Cause.UNEXPLAINED
            },
            {
                "an heir was killed before",
                String.format(heirKilled, 800) + pausedBeside(0, 0),
                Cause.SCHEDULER_PAUSED
            },
        };
    }

    /** A process that ran beside the paused one may have answered: its lateness has no excuse. */
    @Test(dataProvider = "pausesInHandOvers")
    public void aPauseExplainsNoAnswerWhileAnotherProcessLived(
            String what, String record, Cause cause) throws IOException {
        Verdict v = judge(record, ended("503", 1810));
        List<Judge.Violation> found =
                cause == Cause.SCHEDULER_PAUSED ? v.explained() : v.violations();
        assertEquals(found.stream().map(Judge.Violation::cause).toList(), List.of(cause), what);
    }
}
