package gingerspool.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replacements, heirs killed at any stage, drains, suspensions, SIGHUP, SIGTERM, SIGKILL, pauses
 * and a busy disk, in series and overlapping, while clients use their connections until the process
 * is gone. The clients' and workers' records are judged by the rules, and nothing of a scheduler is
 * left.
 *
 * <p>A short run of fixed seeds by itself; the long one by hand: {@code mvn test -Dtest=SoakTest
 * -Dsoak.from=1 -Dsoak.seeds=60 -Dsoak.out=FOLDER}, which keeps the folders of plays that fail, and
 * {@code -Dsoak.rate} for more than 60 requests a second, {@code -Dsoak.schedulers} for more than
 * two. One play takes about 12 s.
 *
 * <p>Bounds, written before the first run: those of the judge (PROTOCOL's rules, 50 ms more for an
 * answer); no process and no listener beyond a play; descriptors within what the scenario gives;
 * resident memory within heap, direct memory and code as the process is started, 80 + 16 + 24 MB,
 * and as much again for the virtual machine.
 */
public class SoakTest {
    private static final int SHORT_RUN = 4;

    /** A void play decides nothing and is played again; one that is void each time has failed. */
    private static final int MOST_PLAYS = 3;

    private static final int DESCRIPTORS = 1024;
    private static final long RESIDENT_KB = 2 * (80 + 16 + 24) * 1024L;
    private static final long SAMPLED_EVERY_MS = 100;
    private static final Pattern LISTENS = Pattern.compile("\"listen\":\"127.0.0.1:(\\d+)\"");
    private static final Pattern RESIDENT = Pattern.compile("VmRSS:\\s+(\\d+) kB");

    @DataProvider
    public Object[][] seeds() {
        long from = Long.getLong("soak.from", 1);
        int count = Integer.getInteger("soak.seeds", SHORT_RUN);
        Object[][] seeds = new Object[count][];
        for (int i = 0; i < count; i++) {
            seeds[i] = new Object[] {from + i};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void whateverComesAllRulesHoldAndNothingIsLeft(long seed) throws Exception {
        String kept = System.getProperty("soak.out");
        Path folder =
                kept == null
                        ? Files.createTempDirectory("soak")
                        : Files.createDirectories(Path.of(kept, "seed-" + seed));
        Path file = folder.resolve("s.toml");
        Files.writeString(
                file,
                SoakScenario.of(
                        seed,
                        Integer.getInteger("soak.rate", 60),
                        Integer.getInteger("soak.schedulers", 2)));
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        Sampler sampler = new Sampler();
        sampler.start();
        int code = Experiment.VOID;
        Path out = folder;
        for (int i = 0; code == Experiment.VOID && i < MOST_PLAYS; i++) {
            out = folder.resolve("out-" + i);
            code = Experiment.runHere(file, 1, null, null, out, new PrintStream(said, true));
        }
        sampler.end();
        String text = "seed " + seed + "\n" + said.toString(StandardCharsets.UTF_8);
        Files.writeString(folder.resolve("said.txt"), text + sampler.worst());
        assertEquals(code, Experiment.HELD, text);
        assertTrue(!text.contains("went wrong"), text);
        assertEquals(schedulers(), List.of(), "processes are left");
        assertEquals(listening(out.resolve("a-" + seed)), List.of(), "listeners are left");
        assertTrue(sampler.mostProcesses >= 2, "the processes were not seen");
        assertTrue(sampler.mostDescriptors <= DESCRIPTORS, sampler.worst());
        assertTrue(sampler.mostResidentKb <= RESIDENT_KB, sampler.worst());
        Folders.remove(folder);
    }

    /** The scheduler processes of this test that live. */
    private static List<ProcessHandle> schedulers() {
        return ProcessHandle.current()
                .children()
                .filter(child -> child.isAlive() && isScheduler(child))
                .toList();
    }

    /** The system's own record: what Java tells of a process leaves out long arguments. */
    private static boolean isScheduler(ProcessHandle process) {
        try {
            Path line = Path.of("/proc", Long.toString(process.pid()), "cmdline");
            return List.of(Files.readString(line).split("\0")).contains("serve");
        } catch (IOException e) {
            return false;
        }
    }

    /** The schedulers' ports that somebody still listens at. */
    private static List<Integer> listening(Path run) throws IOException {
        List<Integer> taken = new ArrayList<>();
        try (Stream<Path> files = Files.list(run)) {
            for (Path node : files.filter(f -> f.toString().endsWith(".json")).toList()) {
                Matcher m = LISTENS.matcher(Files.readString(node));
                assertTrue(m.find(), node + " names no address");
                int port = Integer.parseInt(m.group(1));
                try (ServerSocket free = new ServerSocket()) {
                    free.setReuseAddress(true);
                    free.bind(
                            new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), port));
                } catch (IOException e) {
                    taken.add(port);
                }
            }
        }
        return taken;
    }

    /** What the schedulers hold, looked at while they run. */
    private static final class Sampler extends Thread {
        private volatile boolean over;
        private long mostDescriptors;
        private long mostResidentKb;
        private int mostProcesses;

        Sampler() {
            super("sampler");
            setDaemon(true);
        }

        @Override
        public void run() {
            while (!over) {
                List<ProcessHandle> all = schedulers();
                mostProcesses = Math.max(mostProcesses, all.size());
                all.forEach(this::look);
                try {
                    Thread.sleep(SAMPLED_EVERY_MS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }

        private void look(ProcessHandle process) {
            Path of = Path.of("/proc", Long.toString(process.pid()));
            try (Stream<Path> descriptors = Files.list(of.resolve("fd"))) {
                mostDescriptors = Math.max(mostDescriptors, descriptors.count());
                Matcher m = RESIDENT.matcher(Files.readString(of.resolve("status")));
                if (m.find()) {
                    mostResidentKb = Math.max(mostResidentKb, Long.parseLong(m.group(1)));
                }
            } catch (IOException | java.io.UncheckedIOException e) {
                // It has ended meanwhile.
                return;
            }
        }

        void end() throws InterruptedException {
            over = true;
            join();
        }

        String worst() {
            return String.format(
                    "at most %d processes, %d descriptors, %d kB in one of them%n",
                    mostProcesses, mostDescriptors, mostResidentKb);
        }
    }
}
