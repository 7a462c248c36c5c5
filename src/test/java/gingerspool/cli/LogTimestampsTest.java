package gingerspool.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.nio.charset.Charset;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class LogTimestampsTest {
    @Test
    public void timesAreOfOneWidth() {
        assertEquals(LogTimestamps.time(0), "1970-01-01T00:00:00.000");
        assertEquals(LogTimestamps.time(1_796_209_509_042L), "2026-12-02T11:05:09.042");
        assertEquals(LogTimestamps.time(-1), "1969-12-31T23:59:59.999");
    }

    /** A line that is written in parts could be dropped in part, or have another one within. */
    @Test
    public void aLineAndItsEndAreOneWrite() {
        List<String> writes = new ArrayList<>();
        OutputStream out =
                new OutputStream() {
                    @Override
                    public void write(int octet) {
                        writes.add(Character.toString(octet));
                    }

                    @Override
                    public void write(byte[] bytes, int offset, int length) {
                        writes.add(new String(bytes, offset, length, Charset.defaultCharset()));
                    }
                };
        new LogTimestamps(out).println("x".repeat(20_000));
        assertEquals(writes.size(), 1);
        assertTrue(writes.get(0).endsWith(" " + "x".repeat(20_000) + System.lineSeparator()));
    }
}
