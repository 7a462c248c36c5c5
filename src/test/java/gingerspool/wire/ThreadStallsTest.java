package gingerspool.wire;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Page faults and disk waits are parsed from the right fields of the thread's stat line. */
public class ThreadStallsTest {
    private static final String HEAD = "9146 (a loop) R) S 9144 9144 8119 0 -1 4194304 105 0 ";
    private static final String BETWEEN =
            " 0 7 8 0 0 20 0 1 0 65566 3133440 411 1 2 3 4 5 6 0 0 0 0 " + "0 0 0 17 2 0 0 ";

    @Test
    public void faultsAndTicksAreRead() {
        ThreadStalls stalls = ThreadStalls.parse(HEAD + "12" + BETWEEN + "34 0 0 1 2\n");
        assertEquals(stalls, new ThreadStalls(12, 340));
        assertEquals(stalls.since(new ThreadStalls(10, 40)), new ThreadStalls(2, 300));
    }

    @DataProvider
    public Object[][] unreadable() {
        return new Object[][] {{""}, {"1 (a"}, {"1 (a) "}, {"1 (a) S 1 2"}, {"a b c"}};
    }

    @Test(dataProvider = "unreadable")
    public void unreadableLineIsUnknown(String line) {
        assertEquals(ThreadStalls.parse(line), ThreadStalls.UNKNOWN);
    }

    /** An older system provides the faults only. */
    @Test
    public void shortLineGivesFaultsOnly() {
        assertEquals(ThreadStalls.parse(HEAD + "12 0 7"), new ThreadStalls(12, Double.NaN));
    }

    @Test
    public void logLineHoldsKnownFigures() {
        assertEquals(
                fields(new ThreadStalls(3, 20)), Map.of("major_faults", 3L, "disk_wait_ms", 20L));
        assertEquals(fields(new ThreadStalls(0, 0)), Map.of("major_faults", 0L));
        assertEquals(fields(ThreadStalls.UNKNOWN), Map.of());
    }

    private static Map<String, Object> fields(ThreadStalls stalls) {
        RecordingLogger log = new RecordingLogger();
        var line = log.atWarn();
        stalls.describe(line);
        line.log("event");
        return log.lines().get(0).fields();
    }
}
