package gingerspool.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a descriptor whose writes block never blocks the threads that log. */
public class AsynchronousLogOutputTest {
    private static final int TEST_TIMEOUT_MS = 20_000;
    private static final int LINE_BYTES = 100;

    private ModelDescriptor descriptor;
    private AsynchronousLogOutput output;
    private CountDownLatch reported;
    private volatile long lost;

    @BeforeMethod
    public void begin() {
        descriptor = new ModelDescriptor();
        reported = new CountDownLatch(1);
        output = new AsynchronousLogOutput(descriptor, this::report);
        output.start();
    }

    @AfterMethod
    public void end() {
        descriptor.unblock();
    }

    private void report(long lines) {
        lost = lines;
        log("lost " + lines);
        reported.countDown();
    }

    private void log(String line) {
        byte[] bytes = (line + "\n").getBytes(StandardCharsets.US_ASCII);
        output.write(bytes, 0, bytes.length);
    }

    private static String numbered(int number) {
        return String.format("%0" + (LINE_BYTES - 1) + "d", number);
    }

    /** Blocks the writer thread in the write of a first line; later lines are buffered. */
    private void stall() throws InterruptedException {
        log("first");
        descriptor.awaitWrite();
    }

    @Test(timeOut = TEST_TIMEOUT_MS)
    public void linesBeyondTheCapacityAreDroppedAndCounted() throws InterruptedException {
        stall();
        int fitting =
                (AsynchronousLogOutput.CAPACITY_BYTES - AsynchronousLogOutput.NOTICE_BYTES)
                        / LINE_BYTES;
        int excess = 17;
        for (int i = 0; i < fitting + excess; i++) {
            log(numbered(i));
        }
        descriptor.unblock();
        reported.await();
        output.awaitWritten();
        assertEquals(lost, excess);
        String text = descriptor.text();
        StringBuilder kept = new StringBuilder("first\n");
        for (int i = 0; i < fitting; i++) {
            kept.append(numbered(i)).append('\n');
        }
        assertEquals(text.replace("lost " + excess + "\n", ""), kept.toString());
        assertTrue(
                text.contains("\nlost " + excess + "\n"), "dropped lines not reported in the log");
    }

    /** Once there is room again, lines are accepted, and dropped lines are reported only once. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void linesAreAcceptedAgainAfterDrops() throws InterruptedException {
        stall();
        int tooMany = AsynchronousLogOutput.CAPACITY_BYTES / LINE_BYTES + 1;
        for (int i = 0; i < tooMany; i++) {
            log(numbered(i));
        }
        descriptor.unblock();
        reported.await();
        output.awaitWritten();
        long before = lost;
        log("after");
        output.awaitWritten();
        assertTrue(descriptor.text().endsWith("\nafter\n"));
        assertEquals(lost, before);
    }

    @Test(timeOut = TEST_TIMEOUT_MS)
    public void bufferedLinesAreWrittenTogether() throws InterruptedException {
        stall();
        for (int i = 0; i < 10; i++) {
            log(numbered(i));
        }
        descriptor.unblock();
        output.awaitWritten();
        assertEquals(descriptor.writes(), 2);
    }

    @Test(timeOut = TEST_TIMEOUT_MS)
    public void shutdownWaitsForBufferedLines() throws InterruptedException {
        stall();
        log("last");
        Thread later = new Thread(descriptor::unblock);
        later.start();
        output.awaitWritten();
        later.join();
        assertEquals(descriptor.text(), "first\nlast\n");
    }

    /** Each of these calls would take 0.2 s if each waited again for a blocked write. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void shutdownDoesNotWaitForABlockedDescriptor() throws InterruptedException {
        stall();
        log("last");
        int calls = 1000;
        assertTrue(calls * AsynchronousLogOutput.SHUTDOWN_TIMEOUT_MS > 5 * TEST_TIMEOUT_MS);
        for (int i = 0; i < calls; i++) {
            output.awaitWritten();
        }
        assertEquals(descriptor.text(), "");
    }

    /** The wait at shutdown is bounded also if the reader is slow but not blocked. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void shutdownWaitIsBoundedWithASlowReader() throws InterruptedException {
        stall();
        int chunks = 50;
        for (int i = 0; i < chunks * AsynchronousLogOutput.WRITE_BYTES / LINE_BYTES; i++) {
            log(numbered(i));
        }
        CountDownLatch ended = new CountDownLatch(1);
        Thread end =
                new Thread(
                        () -> {
                            output.awaitWritten();
                            ended.countDown();
                        });
        end.start();
        // One write at a time, each after a quarter of the timeout: writing all of them would take
        // 50 quarters.
        int allowed = 0;
        while (!ended.await(AsynchronousLogOutput.SHUTDOWN_TIMEOUT_MS / 4, TimeUnit.MILLISECONDS)) {
            descriptor.allow(1);
            allowed++;
        }
        assertTrue(allowed < chunks / 2, allowed + " writes were waited for");
    }

    /** Lines of failed writes are lost, and reported once a write succeeds again. */
    @Test(timeOut = TEST_TIMEOUT_MS)
    public void linesOfFailedWritesAreCounted() throws InterruptedException {
        stall();
        log("second");
        log("third");
        descriptor.fail(true);
        descriptor.allow(2);
        descriptor.awaitWrite();
        output.awaitWritten();
        assertEquals(reported.getCount(), 1);
        descriptor.fail(false);
        descriptor.unblock();
        log("fourth");
        reported.await();
        output.awaitWritten();
        assertEquals(lost, 3);
        assertEquals(descriptor.text(), "fourth\nlost 3\n");
    }

    @Test(timeOut = TEST_TIMEOUT_MS)
    public void writesContainWholeLines() throws InterruptedException {
        stall();
        String longLine = "x".repeat(AsynchronousLogOutput.WRITE_BYTES - 10);
        log(longLine);
        log("next line");
        descriptor.allow(1);
        descriptor.awaitWrite();
        descriptor.allow(1);
        descriptor.awaitWrite();
        assertEquals(descriptor.text(), "first\n" + longLine + "\n");
        assertFalse(descriptor.text().contains("next"));
    }
}
