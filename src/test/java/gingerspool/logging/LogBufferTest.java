package gingerspool.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.testng.annotations.Test;

public class LogBufferTest {
    private static final int LIMIT_BYTES = 20_000;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static String take(LogBuffer buffer, int maxBytes) {
        byte[] target = new byte[maxBytes];
        return new String(target, 0, buffer.take(target), StandardCharsets.US_ASCII);
    }

    private static boolean add(LogBuffer buffer, String text) {
        return buffer.add(bytes(text), 0, text.length(), LIMIT_BYTES);
    }

    @Test
    public void bytesAreTakenInTheOrderAdded() {
        Random random = new Random(5);
        LogBuffer buffer = new LogBuffer();
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] target = new byte[3000];
        for (int i = 0; i < 2000; i++) {
            byte[] chunk = new byte[random.nextInt(2000)];
            random.nextBytes(chunk);
            if (buffer.add(chunk, 0, chunk.length, LIMIT_BYTES)) {
                in.write(chunk, 0, chunk.length);
            }
            if (random.nextBoolean()) {
                out.write(target, 0, buffer.take(target));
            }
            assertTrue(buffer.size() <= LIMIT_BYTES);
        }
        while (!buffer.isEmpty()) {
            out.write(target, 0, buffer.take(target));
        }
        assertEquals(out.toByteArray(), in.toByteArray());
    }

    @Test
    public void bytesBeyondTheLimitAreRejectedAsAWhole() {
        LogBuffer buffer = new LogBuffer();
        assertTrue(add(buffer, "x".repeat(LIMIT_BYTES - 1)));
        assertFalse(add(buffer, "ab"));
        assertTrue(add(buffer, "c"));
        assertFalse(add(buffer, "d"));
        assertEquals(take(buffer, LIMIT_BYTES + 1), "x".repeat(LIMIT_BYTES - 1) + "c");
    }

    @Test
    public void partialLineIsNotTakenUnlessTooLong() {
        LogBuffer buffer = new LogBuffer();
        add(buffer, "one\ntwo\nthree is long\n");
        assertEquals(take(buffer, 10), "one\ntwo\n");
        assertEquals(take(buffer, 10), "three is l");
        assertEquals(take(buffer, 10), "ong\n");
        add(buffer, "no end");
        assertEquals(take(buffer, 10), "no end");
    }
}
