package gingerspool.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import gingerspool.consensus.LogEntry;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.Snapshot;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.h2.mvstore.MVStore;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The log's thread on a disk that fails, is full or holds an unsupported format at the start. */
public class LogWriterTest {
    private static final Member SELF = new Member("10.0.0.1", "m");
    private static final Snapshot EMPTY = new Snapshot(0, 0, List.of(SELF), null);
    private static final long FULL_STATE_TICKET = 7;
    private static final long EVENT_TIMEOUT_S = 10;

    private static final int UNKNOWN_FILE_COUNT = -1;

    /** Events of the current test only: the writer of the previous test may still be stopping. */
    private LinkedBlockingQueue<Object> events;

    /** The number of files each time the full state was requested. */
    private List<Integer> fileCounts;

    private ExecutorService loop;
    private LogWriter writer;

    private static LogWrite stateAt(long ticket) {
        List<LogEntry> entries = List.of(new LogEntry(1, new byte[] {1}, null));
        return new LogWrite(ticket, SELF, 1, null, 1, entries, EMPTY);
    }

    @BeforeMethod
    public void begin() {
        ModelDisk.reset();
        events = new LinkedBlockingQueue<>();
        fileCounts = new CopyOnWriteArrayList<>();
        loop =
                new ThreadPoolExecutor(
                        1,
                        1,
                        0,
                        TimeUnit.SECONDS,
                        new LinkedBlockingQueue<>(),
                        new ThreadPoolExecutor.DiscardPolicy());
    }

    @AfterMethod
    public void end() {
        writer.stop();
        loop.shutdown();
    }

    private void start(LogFolder folder) {
        LinkedBlockingQueue<Object> testEvents = events;
        List<Integer> files = fileCounts;
        DurableLog log = new DurableLog(folder, 128, ModelDisk.SCHEME);
        writer =
                new LogWriter(
                        log,
                        loop,
                        new LogWriter.Owner() {
                            @Override
                            public void recovered(RecoveredLog recovered) {
                                testEvents.add(recovered);
                            }

                            @Override
                            public void unusable(StorageException why) {
                                testEvents.add(why);
                            }

                            @Override
                            public void persisted(long ticket) {
                                testEvents.add(ticket);
                            }

                            @Override
                            public LogWrite fullState() {
                                recordFileCount(folder, files);
                                testEvents.add("asked");
                                return stateAt(FULL_STATE_TICKET);
                            }
                        });
        writer.start();
    }

    /** Called between attempts, the only time at which a failed attempt's file must be gone. */
    private static void recordFileCount(LogFolder folder, List<Integer> files) {
        try {
            files.add(folder.files().size());
        } catch (IOException e) {
            files.add(UNKNOWN_FILE_COUNT);
        }
    }

    private Object nextEvent() throws InterruptedException {
        Object event = events.poll(EVENT_TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(event, "no event arrived in time");
        return event;
    }

    private static Path createFolder() throws Exception {
        return Files.createTempDirectory("log");
    }

    @Test
    public void startsOnAFullDiskAndConfirmsNothingUntilThereIsSpace() throws Exception {
        Path folder = createFolder();
        try (DurableLog earlierLog = new DurableLog(folder, 128)) {
            earlierLog.open();
            earlierLog.rewrite(stateAt(1));
        }
        ModelDisk.full = true;
        start(ModelDisk.folder(folder));
        assertEquals(((RecoveredLog) nextEvent()).state().entries().size(), 1);
        for (int attempt = 0; attempt < 3; attempt++) {
            assertEquals(nextEvent(), "asked", "nothing is confirmed, the write is retried");
        }
        assertTrue(writer.isFailing());
        assertEquals(
                List.copyOf(fileCounts).subList(0, 3),
                List.of(1, 1, 1),
                "failed attempts leave no files");
        ModelDisk.full = false;
        Object event = nextEvent();
        while (event.equals("asked")) {
            event = nextEvent();
        }
        assertEquals(event, FULL_STATE_TICKET);
        writer.save(stateAt(FULL_STATE_TICKET + 1));
        assertEquals(nextEvent(), FULL_STATE_TICKET + 1);
    }

    @Test
    public void diskThatCannotBeReadIsRetriedAndNotTakenAsEmpty() throws Exception {
        LinkedBlockingQueue<Object> testEvents = events;
        start(
                new LogFolder(createFolder()) {
                    private int attempts;

                    @Override
                    void create() throws IOException {
                        testEvents.add("tried");
                        if (++attempts < 3) {
                            throw new IOException("Input/output error");
                        }
                    }
                });
        for (int attempt = 0; attempt < 3; attempt++) {
            assertEquals(nextEvent(), "tried");
        }
        assertTrue(((RecoveredLog) nextEvent()).isEmpty());
    }

    @Test
    public void newerFormatStopsTheWriter() throws Exception {
        Path folder = createFolder();
        try (MVStore newer = MVStore.open(folder.resolve("ledger-1.mv").toString())) {
            newer.openMap("meta").put("form", new byte[] {DurableLog.FORMAT + 1});
        }
        start(ModelDisk.folder(folder));
        assertTrue(nextEvent() instanceof UnsupportedFormatException);
    }
}
