package gingerspool.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.FilterWriter;
import java.io.IOException;
import java.io.StringWriter;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** A record is whole and in order, or its end says that it is not. */
public class RecordWriterTest {
    /** A disk that takes nothing until it is let go, and may then refuse. */
    private static final class SlowDisk extends FilterWriter {
        private final CountDownLatch writing = new CountDownLatch(1);
        private final CountDownLatch free = new CountDownLatch(1);
        private final IOException failure;

        SlowDisk(StringWriter to, IOException failure) {
            super(to);
            this.failure = failure;
        }

        @Override
        public void write(String text, int from, int length) throws IOException {
            writing.countDown();
            try {
                free.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            if (failure != null) {
                throw failure;
            }
            super.write(text, from, length);
        }
    }

    @Test
    public void linesKeepTheirOrderAndAreAllThereAtTheEnd() throws IOException {
        StringWriter disk = new StringWriter();
        RecordWriter record = new RecordWriter(disk, "r.tsv", 10_000);
        for (int i = 0; i < 5000; i++) {
            record.write("%d\t%.1f", i, 0.5);
        }
        record.close();
        assertEquals(
                disk.toString(),
                IntStream.range(0, 5000)
                        .mapToObj(i -> i + "\t0.5\n")
                        .collect(Collectors.joining()));
    }

    /** Guards the loops: whoever writes a line does not wait for the disk. */
    @Test
    public void aSlowDiskKeepsNoCallerWaiting() throws Exception {
        StringWriter to = new StringWriter();
        SlowDisk disk = new SlowDisk(to, null);
        RecordWriter record = new RecordWriter(disk, "r.tsv", 10);
        record.write("a");
        disk.writing.await();
        record.write("b");
        assertEquals(to.toString(), "");
        disk.free.countDown();
        record.flush();
        assertEquals(to.toString(), "a\nb\n");
        record.close();
    }

    /** Guards the judge: a line that is missing is never taken for one that was not written. */
    @Test
    public void aFullQueueFailsTheRecord() throws Exception {
        SlowDisk disk = new SlowDisk(new StringWriter(), null);
        RecordWriter record = new RecordWriter(disk, "r.tsv", 2);
        record.write("a");
        disk.writing.await();
        record.write("b");
        record.write("c");
        record.write("d");
        disk.free.countDown();
        try {
            record.close();
            assertTrue(false, "a record that lacks a line was closed");
        } catch (IOException e) {
            assertTrue(e.getMessage().contains("r.tsv is not whole"), e.getMessage());
        }
    }

    @Test
    public void aDiskThatRefusesFailsTheRecord() {
        SlowDisk disk = new SlowDisk(new StringWriter(), new IOException("full"));
        RecordWriter record = new RecordWriter(disk, "r.tsv", 2);
        record.write("a");
        disk.free.countDown();
        assertThrows(IOException.class, record::close);
    }
}
