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

/** A daemon with an operator's file, on loopback, before stand-in workers. */
public class ReloadTest {
    private static final int RELOADS = 200;
    private static final int CLIENTS = 8;

    private Peers peers;
    private Path folder;
    private Daemon daemon;
    private String workers;

    @BeforeMethod
    public void begin() throws IOException {
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
    public void end() throws IOException {
        if (daemon != null) {
            daemon.loop.stop();
            daemon = null;
        }
        peers.close();
        Folders.remove(folder);
    }

    private Path file(String text) throws IOException {
        return Files.writeString(
                folder.resolve("main.toml"),
                "[scheduler]\nlisten = \"127.0.0.1:0\"\nseed = \"7\"\n"
                        + "[profile.p]\neffect = \"idempotent\"\nexpiry = \"10s\"\ndue = \"5s\"\n"
                        + "[profile.s]\neffect = \"side-effecting\"\nexpiry = \"10s\"\ndue = \"5s\"\n"
                        + workers
                        + text);
    }

    private void start(String text) throws Exception {
        daemon = FileDaemon.open(file(text));
        peers.callBackTo((InetSocketAddress) daemon.clients.address());
        CountDownLatch ready = new CountDownLatch(1);
        daemon.loop.submit(daemon::start);
        daemon.loop.submit(ready::countDown);
        ready.await();
    }

    private Socket client() throws IOException {
        Socket s = new Socket();
        s.connect((InetSocketAddress) daemon.clients.address());
        s.setTcpNoDelay(true);
        s.setSoTimeout(20_000);
        return s;
    }

    private static String ask(Socket s, String profile, String id, String more) throws IOException {
        Peers.write(
                s,
                "POST /"
                        + profile
                        + " HTTP/1.1\r\nHost: h.example.org\r\nX-Correlation-Id: "
                        + id
                        + "\r\n"
                        + more
                        + "Content-Length: 2\r\n\r\nhi");
        return Peers.read(s.getInputStream());
    }

    /** Waits until all that was entered before has been done on the loop. */
    private void settled() throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        daemon.loop.submit(done::countDown);
        done.await();
    }

    private static String route(SplittableRandom r) {
        return "[[route]]\nname = \"r"
                + r.nextInt(3)
                + "\"\nmatch.profile = \"p\"\nassignments = "
                + (1 + r.nextInt(4))
                + "\ntimeout = \""
                + (1000 + r.nextInt(1400))
                + "ms\"\nlimit = { in_hand = "
                + (100 + r.nextInt(100))
                + " }\n"
                + (r.nextBoolean() ? "" : "[defaults]\nrepeats = { share = 0.2 }\n");
    }

    /** Good and bad files in turn, under load: every task has its one answer, and ran once. */
    @Test
    public void reloadsDropNothing() throws Exception {
        start("");
        SplittableRandom r = new SplittableRandom(5);
        AtomicBoolean over = new AtomicBoolean();
        ExecutorService pool = Executors.newFixedThreadPool(CLIENTS);
        List<Future<Map<String, String>>> answers = new ArrayList<>();
        for (int c = 0; c < CLIENTS; c++) {
            int n = c;
            answers.add(
                    pool.submit(
                            (Callable<Map<String, String>>)
                                    () -> {
                                        Map<String, String> mine = new HashMap<>();
                                        try (Socket s = client()) {
                                            for (int i = 0; !over.get(); i++) {
                                                String id = "c" + n + "-" + i;
                                                mine.put(
                                                        id, ask(s, i % 2 == 0 ? "p" : "s", id, ""));
                                            }
                                        }
                                        return mine;
                                    }));
        }
        double longest = 0;
        int applied = 0;
        for (int i = 0; i < RELOADS; i++) {
            boolean good = i % 2 == 0;
            file(route(r) + (good ? "" : "[[route]]\nname = \"bad\"\nassignments = 9\n"));
            gingerspool.route.Routes before = daemon.scheduler.routes();
            long from = System.nanoTime();
            daemon.hangupAction.run();
            settled();
            applied += daemon.scheduler.routes() != before ? 1 : 0;
            longest = Math.max(longest, daemon.reloadMs);
            assertEquals(
                    daemon.scheduler.routes() != before,
                    good,
                    "reload " + i + ", " + (System.nanoTime() - from) / 1_000_000 + " ms");
        }
        over.set(true);
        int tasks = 0;
        Map<String, Integer> ran = new HashMap<>();
        for (Peers.Event e : peers.log()) {
            ran.merge(e.task(), e.what().equals("started") ? 1 : 0, Integer::sum);
        }
        for (Future<Map<String, String>> f : answers) {
            for (Map.Entry<String, String> a : f.get(30, TimeUnit.SECONDS).entrySet()) {
                assertTrue(
                        a.getValue().startsWith("HTTP/1.1 200 "), a.getKey() + ": " + a.getValue());
                tasks++;
            }
        }
        pool.shutdown();
        for (Peers.Event e : peers.log()) {
            ran.merge(e.task(), 0, Integer::sum);
        }
        ran.forEach((id, n) -> assertTrue(n <= 1, id + " ran " + n + " times"));
        assertEquals(applied, RELOADS / 2);
        System.out.printf(
                "%d reloads, %d tasks answered, longest turn of a reload %.2f ms%n",
                RELOADS, tasks, longest);
        assertTrue(tasks > RELOADS);
        assertTrue(longest < 20, "a reload held the loop for " + longest + " ms");
    }

    @Test
    public void aTaskInHandEndsUnderThePolicyItWasTakenWith() throws Exception {
        int slow = peers.worker("slow", 1, id -> 400);
        workers = "[[worker]]\nname = \"slow\"\naddress = \"127.0.0.1:" + slow + "\"\nsize = 4\n";
        start("");
        try (Socket first = client();
                Socket second = client()) {
            Peers.write(
                    first, "POST /p HTTP/1.1\r\nX-Correlation-Id: a\r\nContent-Length: 0\r\n\r\n");
            while (peers.log().stream().noneMatch(e -> e.what().equals("started"))) {
                Peers.write(second, "GET /healthz HTTP/1.1\r\n\r\n");
                Peers.read(second.getInputStream());
            }
            file("[[route]]\nname = \"r\"\nassignments = 1\ntimeout = \"30ms\"\n");
            daemon.hangupAction.run();
            settled();
            String timedOut = ask(second, "s", "b", "");
            assertTrue(
                    timedOut.startsWith("HTTP/1.1 500 "),
                    "the new time-out holds for it: " + timedOut);
            assertTrue(
                    Peers.read(first.getInputStream()).startsWith("HTTP/1.1 200 "),
                    "and not for the first");
        }
    }

    @Test
    public void overALimitTasksAreBouncedAtOnceWithAdvice() throws Exception {
        start(
                "[[route]]\nname = \"r\"\nmatch = { profile = \"p\", host = \"*.example.org\" }\n"
                        + "limit = { rate_per_s = 0.1, burst = 2 }\n[limits]\nadvice = \"30s\"\n");
        try (Socket s = client()) {
            assertTrue(ask(s, "p", "a", "").startsWith("HTTP/1.1 200 "));
            assertTrue(ask(s, "p", "b", "").startsWith("HTTP/1.1 200 "));
            String third = ask(s, "p", "c", "");
            assertTrue(third.startsWith("HTTP/1.1 503 "), third);
            double pause = Double.parseDouble(Peers.field(third, "Retry-After"));
            assertTrue(pause > 5 && pause <= 10, third);
            assertTrue(
                    ask(s, "s", "d", "").startsWith("HTTP/1.1 200 "),
                    "another profile is not concerned");
        }
        assertTrue(peers.log().stream().noneMatch(e -> e.task().equals("c")));
    }

    /** What a running scheduler can't change refuses the file whole, and names the key. */
    @Test
    public void whatNeedsARestartChangesNothing() throws Exception {
        start("");
        gingerspool.route.Routes before = daemon.scheduler.routes();
        file("[limits]\ntasks = 7\n[[route]]\nname = \"r\"\n");
        daemon.hangupAction.run();
        settled();
        assertEquals(daemon.scheduler.routes(), before);
    }

    /** Found by reading: another file's indexes of kinds were taken for the running one's. */
    @Test
    public void aKindThatComesFirstInTheNextFileTakesNoOthersTasks() throws Exception {
        int other = peers.worker("other", 4, id -> 1);
        String kindOfAll = "kind = \"m\"\n";
        workers = workers.replace("size = 8\n", "size = 8\n" + kindOfAll);
        String own =
                "[profile.k]\neffect = \"idempotent\"\nexpiry = \"10s\"\ndue = \"5s\"\n"
                        + kindOfAll;
        start(own);
        workers =
                "[[worker]]\nname = \"other\"\naddress = \"127.0.0.1:"
                        + other
                        + "\"\nkind = \"x\"\nsize = 99\n"
                        + workers;
        file(own);
        daemon.hangupAction.run();
        settled();
        try (Socket s = client()) {
            for (int i = 0; i < 30; i++) {
                String answer = ask(s, "k", "t" + i, "");
                assertTrue(answer.contains(" 200 ") && !answer.endsWith("by other"), answer);
            }
        }
    }

    @Test
    public void workersOfTheFileComeAndGo() throws Exception {
        start("");
        int port = peers.worker("other", 4, id -> 1);
        workers = "[[worker]]\nname = \"other\"\naddress = \"127.0.0.1:" + port + "\"\n";
        file("");
        daemon.hangupAction.run();
        settled();
        try (Socket s = client()) {
            for (int i = 0; i < 20; i++) {
                assertTrue(ask(s, "p", "t" + i, "").endsWith("by other"));
            }
        }
    }
}
