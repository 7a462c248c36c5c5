package gingerspool.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.testng.annotations.Test;

public class LogBufferTest {
    private static final int LIMIT = 20_000;

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static String take(LogBuffer buffer, int most) {
        byte[] target = new byte[most];
        return new String(target, 0, buffer.take(target), StandardCharsets.US_ASCII);
    }

    private static boolean add(LogBuffer buffer, String text) {
        return buffer.add(bytes(text), 0, text.length(), LIMIT);
    }

    @Test
    public void bytesComeOutInTheOrderInWhichTheyWentIn() {
        Random random = new Random(5);
        LogBuffer buffer = new LogBuffer();
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] target = new byte[3000];
        for (int i = 0; i < 2000; i++) {
            byte[] some = new byte[random.nextInt(2000)];
            random.nextBytes(some);
            if (buffer.add(some, 0, some.length, LIMIT)) {
                in.write(some, 0, some.length);
            }
            if (random.nextBoolean()) {
                out.write(target, 0, buffer.take(target));
            }
            assertTrue(buffer.size() <= LIMIT);
        }
        while (!buffer.isEmpty()) {
            out.write(target, 0, buffer.take(target));
        }
        assertEquals(out.toByteArray(), in.toByteArray());
    }

    @Test
    public void whatDoesNotFitIsNotTakenInPart() {
        LogBuffer buffer = new LogBuffer();
        assertTrue(add(buffer, "x".repeat(LIMIT - 1)));
        assertFalse(add(buffer, "ab"));
        assertTrue(add(buffer, "c"));
        assertFalse(add(buffer, "d"));
        assertEquals(take(buffer, LIMIT + 1), "x".repeat(LIMIT - 1) + "c");
    }

    @Test
    public void aPartOfALineStaysUnlessTheLineIsTooLong() {
        LogBuffer buffer = new LogBuffer();
        add(buffer, "one\ntwo\nthree is long\n");
        assertEquals(take(buffer, 10), "one\ntwo\n");
        assertEquals(take(buffer, 10), "three is l");
        assertEquals(take(buffer, 10), "ong\n");
        add(buffer, "no end");
        assertEquals(take(buffer, 10), "no end");
    }
}
