package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import gingerspool.peers.Peers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Reloads of an operator's file by a daemon on loopback, in front of stand-in workers. */
public class ReloadTest {
    private static final int RELOADS = 200;
    private static final int CLIENTS = 8;

    private Peers peers;
    private Path folder;
    private Daemon daemon;
    private String workers;

    @BeforeMethod
    public void startWorkers() throws IOException {
        peers = new Peers();
        folder = Files.createTempDirectory("gingerspool");
        StringBuilder list = new StringBuilder();
        for (int w = 0; w < 3; w++) {
            list.append("[[worker]]\nname = \"w")
                    .append(w)
                    .append("\"\naddress = \"127.0.0.1:")
                    .append(peers.worker("w" + w, 8, id -> 2))
                    .append("\"\nsize = 8\n");
        }
        workers = list.toString();
    }

    @AfterMethod
    public void stop() throws IOException {
        if (daemon != null) {
            daemon.loop.stop();
            daemon = null;
        }
        peers.close();
        Folders.remove(folder);
    }

    private Path writeFile(String text) throws IOException {
        return Files.writeString(
                folder.resolve("main.toml"),
                "[scheduler]\nlisten = \"127.0.0.1:0\"\nseed = \"7\"\n"
                        + "[profile.p]\neffect = \"idempotent\"\nexpiry = \"10s\"\ndue = \"5s\"\n"
                        + "[profile.s]\neffect = \"side-effecting\"\nexpiry = \"10s\"\ndue = \"5s\"\n"
                        + workers
                        + text);
    }

    private void start(String text) throws Exception {
        daemon = FileDaemon.open(writeFile(text));
        peers.callBackTo((InetSocketAddress) daemon.clients.address());
        CountDownLatch ready = new CountDownLatch(1);
        daemon.loop.submit(daemon::start);
        daemon.loop.submit(ready::countDown);
        ready.await();
    }

    private Socket connect() throws IOException {
        Socket s = new Socket();
        s.connect((InetSocketAddress) daemon.clients.address());
        s.setTcpNoDelay(true);
        s.setSoTimeout(20_000);
        return s;
    }

    private static String request(Socket s, String profile, String id, String headers)
            throws IOException {
        Peers.write(
                s,
                "POST /"
                        + profile
                        + " HTTP/1.1\r\nHost: h.example.org\r\nX-Correlation-Id: "
                        + id
                        + "\r\n"
                        + headers
                        + "Content-Length: 2\r\n\r\nhi");
        return Peers.read(s.getInputStream());
    }

    /** Waits until the loop has done all that was submitted before. */
    private void awaitLoop() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        daemon.loop.submit(done::countDown);
        done.await();
    }

    private static String randomRoute(SplittableRandom random) {
        return "[[route]]\nname = \"r"
                + random.nextInt(3)
                + "\"\nmatch.profile = \"p\"\nassignments = "
                + (1 + random.nextInt(4))
                + "\ntimeout = \""
                + (1000 + random.nextInt(1400))
                + "ms\"\nlimit = { in_hand = "
                + (100 + random.nextInt(100))
                + " }\n"
                + (random.nextBoolean() ? "" : "[defaults]\nrepeats = { share = 0.2 }\n");
    }

    /**
     * Reloads valid and invalid files alternately under load: every task gets one answer and runs
     * at most once.
     */
    @Test
    public void reloadsLoseNoTask() throws Exception {
        start("");
        SplittableRandom random = new SplittableRandom(5);
        AtomicBoolean stopped = new AtomicBoolean();
        ExecutorService pool = Executors.newFixedThreadPool(CLIENTS);
        List<Future<Map<String, String>>> answers = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int clientNumber = c;
            answers.add(
                    pool.submit(
                            (Callable<Map<String, String>>)
                                    () -> {
                                        Map<String, String> answersById = new HashMap<>();
                                        try (Socket s = connect()) {
                                            for (int i = 0; !stopped.get(); i++) {
                                                String id = "c" + clientNumber + "-" + i;
                                                answersById.put(
                                                        id,
                                                        request(s, i % 2 == 0 ? "p" : "s", id, ""));
                                            }
                                        }
                                        return answersById;
                                    }));
        }
        double longestMs = 0;
        int applied = 0;
        for (int i = 0; i < RELOADS; i++) {
            boolean isValid = i % 2 == 0;
            writeFile(
                    randomRoute(random)
                            + (isValid ? "" : "[[route]]\nname = \"bad\"\nassignments = 9\n"));
            gingerspool.route.Routes before = daemon.scheduler.routes();
            long startedAt = System.nanoTime();
            daemon.hangupAction.run();
            awaitLoop();
            applied += daemon.scheduler.routes() != before ? 1 : 0;
            longestMs = Math.max(longestMs, daemon.reloadMs);
            assertEquals(
                    daemon.scheduler.routes() != before,
                    isValid,
                    "reload " + i + ", " + (System.nanoTime() - startedAt) / 1_000_000 + " ms");
        }
        stopped.set(true);
        int tasks = 0;
        Map<String, Integer> runsByTask = new HashMap<>();
        for (Peers.Event e : peers.log()) {
            runsByTask.merge(e.task(), e.what().equals("started") ? 1 : 0, Integer::sum);
        }
        for (Future<Map<String, String>> f : answers) {
            for (Map.Entry<String, String> answer : f.get(30, TimeUnit.SECONDS).entrySet()) {
                assertTrue(
                        answer.getValue().startsWith("HTTP/1.1 200 "),
                        answer.getKey() + ": " + answer.getValue());
                tasks++;
            }
        }
        pool.shutdown();
        for (Peers.Event e : peers.log()) {
            runsByTask.merge(e.task(), 0, Integer::sum);
        }
        runsByTask.forEach((id, runs) -> assertTrue(runs <= 1, id + " ran " + runs + " times"));
        assertEquals(applied, RELOADS / 2);
        System.out.printf(
                "%d reloads, %d tasks answered, longest turn of a reload %.2f ms%n",
                RELOADS, tasks, longestMs);
        assertTrue(tasks > RELOADS);
        assertTrue(longestMs < 20, "a reload occupied the loop for " + longestMs + " ms");
    }

    @Test
    public void taskInProgressKeepsItsPolicy() throws Exception {
        int slow = peers.worker("slow", 1, id -> 400);
        workers = "[[worker]]\nname = \"slow\"\naddress = \"127.0.0.1:" + slow + "\"\nsize = 4\n";
        start("");
        try (Socket first = connect();
                Socket second = connect()) {
            Peers.write(
                    first, "POST /p HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 0\r\n\r\n");
            while (peers.log().stream().noneMatch(e -> e.what().equals("started"))) {
                Peers.write(second, "GET /healthz HTTP/1.1\r\n\r\n");
                Peers.read(second.getInputStream());
            }
            writeFile("[[route]]\nname = \"r\"\nassignments = 1\ntimeout = \"30ms\"\n");
            daemon.hangupAction.run();
            awaitLoop();
            String timedOut = request(second, "s", "b", "");
            assertTrue(
                    timedOut.startsWith("HTTP/1.1 500 "), "the new time-out applies: " + timedOut);
            assertTrue(
                    Peers.read(first.getInputStream()).startsWith("HTTP/1.1 200 "),
                    "the first task keeps its time-out");
        }
    }

    @Test
    public void tasksOverALimitAreRejectedWithRetryAfter() throws Exception {
        start(
                "[[route]]\nname = \"r\"\nmatch = { profile = \"p\", host = \"*.example.org\" }\n"
                        + "limit = { rate_per_s = 0.1, burst = 2 }\n[limits]\nadvice = \"30s\"\n");
        try (Socket s = connect()) {
            assertTrue(request(s, "p", "a", "").startsWith("HTTP/1.1 200 "));
            assertTrue(request(s, "p", "b", "").startsWith("HTTP/1.1 200 "));
            String third = request(s, "p", "c", "");
            assertTrue(third.startsWith("HTTP/1.1 503 "), third);
            double pause = Double.parseDouble(Peers.field(third, "Retry-After"));
            assertTrue(pause > 5 && pause <= 10, third);
            assertTrue(
                    request(s, "s", "d", "").startsWith("HTTP/1.1 200 "),
                    "other profiles are not limited");
        }
        assertTrue(peers.log().stream().noneMatch(e -> e.task().equals("c")));
    }

    /** A file that changes a key that needs a restart is refused as a whole. */
    @Test
    public void changeThatNeedsARestartIsRefused() throws Exception {
        start("");
        gingerspool.route.Routes before = daemon.scheduler.routes();
        writeFile("[limits]\ntasks = 7\n[[route]]\nname = \"r\"\n");
        daemon.hangupAction.run();
        awaitLoop();
        assertEquals(daemon.scheduler.routes(), before);
    }

    /**
     * Guards against the use of another file's kind indexes for the kinds of the running scheduler.
     */
    @Test
    public void kindAddedInFirstPlaceGetsNoTasksOfOthers() throws Exception {
        int otherPort = peers.worker("other", 4, id -> 1);
        String commonKind = "kind = \"m\"\n";
        workers = workers.replace("size = 8\n", "size = 8\n" + commonKind);
        String kindProfile =
                "[profile.k]\neffect = \"idempotent\"\nexpiry = \"10s\"\ndue = \"5s\"\n"
                        + commonKind;
        start(kindProfile);
        workers =
                "[[worker]]\nname = \"other\"\naddress = \"127.0.0.1:"
                        + otherPort
                        + "\"\nkind = \"x\"\nsize = 99\n"
                        + workers;
        writeFile(kindProfile);
        daemon.hangupAction.run();
        awaitLoop();
        try (Socket s = connect()) {
            for (int i = 0; i < 30; i++) {
                String answer = request(s, "k", "t" + i, "");
                assertTrue(answer.contains(" 200 ") && !answer.endsWith("by other"), answer);
            }
        }
    }

    @Test
    public void workersOfTheFileAreReplaced() throws Exception {
        start("");
        int port = peers.worker("other", 4, id -> 1);
        workers = "[[worker]]\nname = \"other\"\naddress = \"127.0.0.1:" + port + "\"\n";
        writeFile("");
        daemon.hangupAction.run();
        awaitLoop();
        try (Socket s = connect()) {
            for (int i = 0; i < 20; i++) {
                assertTrue(request(s, "p", "t" + i, "").endsWith("by other"));
            }
        }
    }
}
