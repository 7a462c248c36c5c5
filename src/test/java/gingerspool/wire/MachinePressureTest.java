package gingerspool.wire;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The machine's pressure is parsed from the kernel's files, each of which may be missing. */
public class MachinePressureTest {
    private static final String STAT = "cpu  102878 0 4033 413964 980 0 1125 1376 0 0\ncpu0 1 2\n";

    private static String pressure(long micros) {
        return "some avg10=0.43 avg60=1.24 avg300=2.50 total="
                + micros
                + "\n"
                + "full avg10=0.00 avg60=0.00 avg300=0.20 total=99\n";
    }

    @Test
    public void stealAndPressureAreRead() {
        MachinePressure now =
                MachinePressure.parse(STAT, pressure(18_252_000), pressure(4_000), pressure(0));
        assertEquals(now, new MachinePressure(13_760, 18_252, 4, 0));
        assertEquals(
                now.since(new MachinePressure(13_700, 18_000, 1, 0)),
                new MachinePressure(60, 252, 3, 0));
    }

    @DataProvider
    public Object[][] unreadable() {
        return new Object[][] {
            {"", ""},
            {"cpu", "some"},
            {"cpu  1 2 3 4\n", "some avg10=0.00 total=\n"},
            {"cpu0 1 2 3 4 5 6 7 8 9\n", "full avg10=0.00 total=7\n"},
            {"cpu  1 2 3 4 5 6 7 x 9\n", "some avg10=0.00 total=x\n"},
        };
    }

    @Test(dataProvider = "unreadable")
    public void unreadableTextIsUnknown(String stat, String pressure) {
        assertEquals(
                MachinePressure.parse(stat, pressure, pressure, pressure), MachinePressure.UNKNOWN);
    }

    /** A first line that was cut off, because only the beginning of the file is read, is parsed. */
    @Test
    public void textWithoutLineEndIsRead() {
        assertEquals(MachinePressure.parse("cpu  1 2 3 4 5 6 7 8", "", "", "").stealMs(), 80.0);
    }

    @Test
    public void logLineHoldsKnownFigures() {
        RecordingLogger log = new RecordingLogger();
        var line = log.atWarn();
        new MachinePressure(10, Double.NaN, 0.6, Double.NaN).describe(line);
        line.log("event");
        assertEquals(log.lines().get(0).fields(), Map.of("steal_ms", 10L, "disk_pressure_ms", 1L));
    }
}
