package gingerspool.cli;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

public class LogTimestampsTest {
    @Test
    public void timesAreOfOneWidth() {
        assertEquals(LogTimestamps.time(0), "1970-01-01T00:00:00.000");
        assertEquals(LogTimestamps.time(1_796_209_509_042L), "2026-12-02T11:05:09.042");
        assertEquals(LogTimestamps.time(-1), "1969-12-31T23:59:59.999");
    }
}
