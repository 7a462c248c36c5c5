package gingerspool.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Disturbances that the tool makes itself: a process that was paused goes on whatever ends the
 * pause, and a busy disk leaves no file.
 */
public class MachineFaultsTest {
    private static final long LONG_MS = 60_000;
    private static final String STOPPED = "T";

    private Path folder;
    private Process process;

    @BeforeMethod
    public void make() throws IOException {
        folder = Files.createTempDirectory("machine");
        process = new ProcessBuilder("sleep", "120").start();
    }

    @AfterMethod
    public void end() throws IOException, InterruptedException {
        process.destroyForcibly().waitFor();
        Folders.remove(folder);
    }

    /** The state of the process as the system tells it; a signal takes effect in a moment. */
    private boolean isStopped() throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
        return stat.substring(stat.lastIndexOf(')') + 2).startsWith(STOPPED);
    }

    private void awaitStopped(boolean stopped) throws IOException, InterruptedException {
        long until = System.nanoTime() + 5_000_000_000L;
        while (isStopped() != stopped) {
            assertTrue(System.nanoTime() < until, "stopped is not " + stopped);
            Thread.sleep(1);
        }
    }

    /** What ends a pause that is under way. */
    private interface End {
        void go(ProcessPauses pauses, Thread pausing) throws Exception;
    }

    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {"its thread is interrupted", (End) (pauses, pausing) -> pausing.interrupt()},
            {"the play ends", (End) (pauses, pausing) -> pauses.end()},
        };
    }

    /** Guards the machine: nothing that the tool paused stays so. */
    @Test(dataProvider = "ends")
    public void aPausedProcessGoesOnWhen(String what, End end) throws Exception {
        ProcessPauses pauses = new ProcessPauses(() -> 0);
        CountDownLatch paused = new CountDownLatch(1);
        Thread pausing =
                new Thread(
                        () -> {
                            try {
                                pauses.pause(process, LONG_MS, (w, at) -> paused.countDown());
                            } catch (InterruptedException e) {
                                return;
                            }
                        },
                        "pausing");
        pausing.start();
        paused.await();
        awaitStopped(true);
        end.go(pauses, pausing);
        awaitStopped(false);
        pausing.interrupt();
        pausing.join();
        assertTrue(process.isAlive());
    }

    /** The record holds the moment before the stop and the one after the process goes on. */
    @Test
    public void aPauseIsWrittenDownFromTheStopToGoingOn() throws Exception {
        List<String> written = new ArrayList<>();
        double[] now = {100};
        boolean[] stopped = {false};
        new ProcessPauses(() -> now[0]++)
                .pause(
                        process,
                        1,
                        (what, at) -> {
                            written.add(what + " " + at);
                            if (what.equals("paused")) {
                                stopped[0] = true;
                            }
                        });
        assertEquals(written, List.of("paused 100.0", "continued 101.0"));
        assertTrue(stopped[0]);
        awaitStopped(false);
    }

    /** Guards the judge: a pause that its thread's interrupt ends has an end in the record. */
    @Test
    public void theEndOfAnInterruptedPauseIsWrittenDown() throws Exception {
        List<String> written = new ArrayList<>();
        double[] now = {100};
        Thread.currentThread().interrupt();
        assertThrows(
                InterruptedException.class,
                () ->
                        new ProcessPauses(() -> now[0]++)
                                .pause(
                                        process,
                                        LONG_MS,
                                        (what, at) -> written.add(what + " " + at)));
        assertEquals(written, List.of("paused 100.0", "continued 101.0"));
        awaitStopped(false);
    }

    /** Two pauses of a process overlap: it goes on after the later one. */
    @Test
    public void overlappingPausesEndWithTheLast() throws Exception {
        ProcessPauses pauses = new ProcessPauses(() -> 0);
        List<Boolean> inner = new ArrayList<>();
        pauses.pause(
                process,
                1,
                (what, at) -> {
                    if (what.equals("paused")) {
                        pauses.pause(process, 1, (w, t) -> {});
                        try {
                            awaitStopped(true);
                            inner.add(isStopped());
                        } catch (IOException e) {
                            throw new IllegalStateException(e);
                        }
                    }
                });
        assertEquals(inner, List.of(true));
        awaitStopped(false);
    }

    /** A process that has ended is not paused, and nothing is written of it. */
    @Test
    public void aProcessThatHasEndedIsNotPaused() throws Exception {
        process.destroyForcibly().waitFor();
        new ProcessPauses(() -> 0)
                .pause(process, LONG_MS, (what, at) -> assertTrue(false, "written: " + what));
    }

    /** The child stops the tool, here another process, and has it go on. */
    @Test
    public void theToolsPauseIsToldByTheChild() throws Exception {
        double before = System.currentTimeMillis();
        try (ToolPause pause = new ToolPause(process.pid())) {
            ToolPause.Span first = pause.pause(20);
            ToolPause.Span second = pause.pause(5);
            double after = System.currentTimeMillis();
            assertTrue(first.fromMs() >= before && second.untilMs() <= after, first + " " + second);
            assertTrue(first.untilMs() - first.fromMs() >= 20, first.toString());
            assertTrue(second.fromMs() >= first.untilMs(), first + " " + second);
        }
        awaitStopped(false);
    }

    private int files() throws IOException {
        try (Stream<Path> all = Files.list(folder)) {
            return (int) all.count();
        }
    }

    @Test
    public void aBusyDiskLeavesNoFile() throws Exception {
        assertTrue(new DiskLoad(folder).run(5) > 0, "nothing was written");
        assertEquals(files(), 0);
    }

    /** Guards the play's end: a load of the disk that is under way ends, and leaves no file. */
    @Test
    public void aBusyDiskEndsWithItsThread() throws Exception {
        List<Throwable> ended = new ArrayList<>();
        Thread loading =
                new Thread(
                        () -> {
                            try {
                                new DiskLoad(folder).run(LONG_MS);
                            } catch (IOException | InterruptedException e) {
                                ended.add(e);
                            }
                        },
                        "loading");
        loading.start();
        long until = System.nanoTime() + 5_000_000_000L;
        while (files() == 0) {
            assertTrue(System.nanoTime() < until, "no file is written");
            Thread.sleep(1);
        }
        loading.interrupt();
        loading.join();
        assertEquals(ended.size(), 1);
        assertEquals(files(), 0);
    }
}
