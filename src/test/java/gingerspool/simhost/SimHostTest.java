package gingerspool.simhost;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the simulator protocol: replies per batch, and errors for malformed input. */
public class SimHostTest {
    private static final String START_OF_BATCH = line("MARK", "'tMs':10.5,'batch':3");
    private static final String END_OF_BATCH = line("OVER_TO_YOU", "");
    private static final String DONE = line("DONE", "'batch':3");
    private static final String SCHEDULER_ID = "'schedulerId':'scheduler_0'";
    private static final String CONFIGURE =
            line(
                    "CONFIGURE",
                    SCHEDULER_ID
                            + ",'initSeed':5,'settings':{'unknown':1,"
                            + "'localities':['a'],'locality':'a','profiles':[{'name':'p','dueTimeMs':100,'expiryMs':5000,"
                            + "'effect':'safe'}],'limits':{'mostAssignments':2}}");
    private static final String WORKER_LIST =
            line(
                            "PAGE",
                            "'page':0,'nodesList':[{'worker':'worker-a','site':'a',"
                                    + "'bay':0,'stageState':'Running','capacityHint':2}]")
                    + line("FLEET", SCHEDULER_ID + ",'form':'remembered'");
    private static final String TASK =
            line("INGRESS", SCHEDULER_ID + ",'xid':'x1','kind':'p','notAfterMs':5010.5");

    private String errorOutput;
    private int exitCode;

    private static String line(String name, String fields) {
        return ("{'" + name + "':{" + fields + "}}\n").replace('\'', '"');
    }

    private String run(String in) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        ByteArrayInputStream bytes = new ByteArrayInputStream(in.getBytes(StandardCharsets.UTF_8));
        exitCode = SimHost.run(bytes, out, new PrintStream(errors));
        errorOutput = errors.toString(StandardCharsets.UTF_8);
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    public void emptyBatchIsAnswered() {
        assertEquals(run(START_OF_BATCH + END_OF_BATCH), DONE);
        assertEquals(exitCode, 0);
    }

    @Test
    public void arrivingTaskIsRouted() {
        String out = run(START_OF_BATCH + CONFIGURE + WORKER_LIST + TASK + END_OF_BATCH);
        assertTrue(
                out.contains(line("ROUTE", SCHEDULER_ID + ",'xid':'x1','worker':'worker-a'")), out);
        assertTrue(out.endsWith(DONE));
    }

    @Test
    public void restartWithinBatchDiscardsState() {
        String stop = line("EXIT", SCHEDULER_ID);
        String out =
                run(
                        START_OF_BATCH
                                + CONFIGURE
                                + stop
                                + CONFIGURE
                                + WORKER_LIST
                                + TASK
                                + END_OF_BATCH);
        assertEquals(out.split("ROUTE").length, 2);
        assertEquals(exitCode, 0);
    }

    @Test
    public void unusableSettingsAreAFault() {
        String out =
                run(
                        START_OF_BATCH
                                + CONFIGURE.replace("\"profiles\":[", "\"profiles\":[],\"x\":[")
                                + END_OF_BATCH);
        assertTrue(
                out.startsWith("{\"FAULT\":{") && out.contains("these settings can't be used"),
                out);
    }

    @DataProvider
    public Object[][] malformedInputs() {
        return new Object[][] {
            {"nonsense\n", "JSON"},
            {END_OF_BATCH, "outside a batch"},
            {START_OF_BATCH + START_OF_BATCH, "inside another"},
            {START_OF_BATCH, "ended inside"},
            {START_OF_BATCH + line("ODD", SCHEDULER_ID) + END_OF_BATCH, "not configured"},
            {
                START_OF_BATCH + CONFIGURE + line("ODD", SCHEDULER_ID) + END_OF_BATCH,
                "unknown event"
            },
            {
                START_OF_BATCH
                        + CONFIGURE
                        + WORKER_LIST
                        + TASK.replace("\"xid\":\"x1\",", "")
                        + END_OF_BATCH,
                "xid is missing"
            },
            {
                START_OF_BATCH
                        + CONFIGURE
                        + WORKER_LIST
                        + TASK.replace("5010.5", "\"soon\"")
                        + END_OF_BATCH,
                "notAfterMs is not a number"
            },
            {START_OF_BATCH + CONFIGURE + "{\"INGRESS\":[]}\n" + END_OF_BATCH, "must be an object"},
        };
    }

    @Test(dataProvider = "malformedInputs")
    public void malformedInputPrintsOneErrorLineAndNoReply(String in, String expectedError) {
        assertEquals(run(in), "");
        assertEquals(exitCode, 1);
        assertTrue(errorOutput.contains(expectedError), errorOutput);
        assertEquals(errorOutput.strip().split("\n").length, 1);
    }
}
