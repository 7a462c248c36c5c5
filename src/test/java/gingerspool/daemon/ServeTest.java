package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.Bench;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A whole daemon on loopback sockets; the test itself stands in for client, worker and discovery.
 */
public class ServeTest {
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    private static final String UNPROCESSED =
            "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n" + "Content-Length: 0\r\n\r\n";

    private final List<Socket> sockets = new ArrayList<>();
    private ServerSocket worker;
    private ServerSocket discovery;
    private Daemon daemon;
    private String node;

    @BeforeMethod
    public void listen() throws IOException {
        worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        worker.setSoTimeout(5000);
        discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        discovery.setSoTimeout(5000);
    }

    /** Starts with one worker known and the configuration of that test, with this put in place. */
    private void start(String sound, String other) throws Exception {
        String known =
                "'known':{'seq':7,'whole':true,'hosts':[{'host':'s-1','dial':'127.0.0.1:"
                        + worker.getLocalPort()
                        + "','site':'a','class':'m','block':0,'health':'SERVING','share':4,"
                        + "'born_ms':0}]},";
        node =
                ConfigurationTest.NODE
                        .replace("127.0.0.1:1'", "127.0.0.1:" + discovery.getLocalPort() + "'")
                        .replace("'settings'", known + "'settings'")
                        .replace("'safe'", "'unsafe'")
                        .replace(sound, other);
        daemon = new Daemon(new NodeConfiguration(ConfigurationTest.parse(node), Map.of()));
        daemon.loop.submit(daemon::start);
    }

    private void start() throws Exception {
        start("none", "none");
    }

    @AfterMethod
    public void stop() throws IOException {
        if (daemon != null) {
            daemon.loop.stop();
            daemon = null;
        }
        for (Socket s : sockets) {
            s.close();
        }
        sockets.clear();
        worker.close();
        discovery.close();
    }

    private Socket connectClient() throws IOException {
        Socket s = new Socket();
        sockets.add(s);
        s.connect((InetSocketAddress) daemon.clients.address());
        s.setSoTimeout(5000);
        return s;
    }

    private Socket sendRequest(String text) throws IOException {
        Socket s = connectClient();
        Bench.write(s, text);
        return s;
    }

    private static String taskRequest(String id, int timeLeft) {
        return "POST /p HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Service-Class: p\r\n"
                + "X-Weight-Hint: 10000\r\nX-Time-Left-Ms: "
                + timeLeft
                + "\r\nContent-Length: 2\r\n\r\nhi";
    }

    private String sendCallback(String id, String from, String state) throws IOException {
        String body =
                "{\"id\":\""
                        + id
                        + "\",\"from\":\""
                        + from
                        + "\",\"state\":\""
                        + state
                        + "\",\"result\":\"made \\u00e9\"}";
        return Bench.read(
                sendRequest(
                        "POST /callback HTTP/1.1\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body));
    }

    /** Takes the next connection at the worker, reads a request there and answers it. */
    private Socket acceptAtWorker(String answer) throws IOException {
        Socket s = worker.accept();
        sockets.add(s);
        s.setSoTimeout(5000);
        assertTrue(Bench.read(s).startsWith("POST /p HTTP/1.1\r\n"));
        Bench.write(s, answer);
        return s;
    }

    @Test
    public void taskIsAnsweredWithTheResultOfItsWorker() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        assertTrue(sendCallback("i1", "s-1", "done").startsWith("HTTP/1.1 200 "));
        String answer = Bench.read(client);
        assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("made \u00e9"), answer);
        assertTrue(
                sendCallback("i1", "s-1", "done").startsWith("HTTP/1.1 200 "),
                "a repeat is wanted no more");
    }

    @Test
    public void workerConnectionIsReused() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        Socket atWorker = acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-1", "done");
        Bench.read(client);
        Bench.write(client, taskRequest("i2", 3000));
        assertTrue(Bench.read(atWorker).contains("X-Correlation-Id: i2\r\n"));
    }

    /**
     * Found on service days: connections at rest were dropped without a word, and each cost a task.
     */
    @Test
    public void connectionsIdleLongerThanABrokenOneAreNotReused() throws Exception {
        start();
        Socket first = sendRequest(taskRequest("i1", 3000));
        Socket older = acceptAtWorker("");
        sendRequest(taskRequest("i2", 3000));
        Socket newer = acceptAtWorker("");
        Bench.write(older, ACCEPTED);
        sendCallback("i1", "s-1", "done");
        Bench.read(first);
        Bench.write(newer, ACCEPTED);
        sendCallback("i2", "s-1", "done");
        // One that breaks having rested under 6 ms shortens the rest to its least, which the other
        // may be
        // under.
        long since = System.nanoTime();
        // On one connection: new ones would make the idle ones make way, the first of all.
        Socket other = connectClient();
        while (System.nanoTime() - since < 20_000_000) {
            Bench.write(other, "GET /healthz HTTP/1.1\r\n\r\n");
            Bench.read(other);
        }
        Bench.write(first, taskRequest("i3", 3000));
        assertTrue(Bench.read(newer).contains("X-Correlation-Id: i3\r\n"));
        newer.close();
        assertTrue(Bench.read(first).startsWith("HTTP/1.1 500 "));
        Bench.write(first, taskRequest("i4", 3000));
        acceptAtWorker(ACCEPTED);
        assertEquals(older.getInputStream().read(), -1);
    }

    @Test
    public void callbackOfAnotherWorkerIsIgnored() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-2", "failed");
        sendCallback("i1", "s-1", "done");
        assertTrue(Bench.read(client).startsWith("HTTP/1.1 200 "));
    }

    @Test
    public void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000) + "GET /healthz HTTP/1.1\r\n\r\n");
        acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-1", "done");
        assertTrue(Bench.read(client).endsWith("made \u00e9"));
        assertTrue(Bench.read(client).endsWith("ready\n"));
    }

    /** Guards rule two: a worker that ends before its answer may have run the task. */
    @Test
    public void connectionClosedBeforeTheResponseAbandonsASideEffectingTask() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker("").close();
        assertTrue(Bench.read(client).startsWith("HTTP/1.1 500 "));
    }

    @Test
    public void taskForAnUnreachableWorkerIsBounced() throws Exception {
        start();
        worker.close();
        assertTrue(Bench.read(sendRequest(taskRequest("i1", 3000))).startsWith("HTTP/1.1 503 "));
    }

    @Test
    public void taskThatItsWorkerRefusesIsBounced() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(UNPROCESSED);
        assertTrue(Bench.read(client).startsWith("HTTP/1.1 503 "));
    }

    @Test
    public void acceptedTaskIsCancelledByADeleteRequestBeforeItsExpiry() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 800));
        Socket atWorker = acceptAtWorker(ACCEPTED);
        assertTrue(Bench.read(client).startsWith("HTTP/1.1 500 "));
        assertTrue(Bench.read(atWorker).startsWith("DELETE /jobs/i1 HTTP/1.1\r\n"));
    }

    @Test
    public void taskWithoutAResponseIsCancelledByClosingItsConnection() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 800));
        Socket atWorker = acceptAtWorker("");
        assertTrue(Bench.read(client).startsWith("HTTP/1.1 500 "));
        assertEquals(atWorker.getInputStream().read(), -1);
    }

    @Test
    public void serverKeepsServingAfterAClientDisconnects() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        client.close();
        assertTrue(sendCallback("i1", "s-1", "done").startsWith("HTTP/1.1 200 "));
        assertTrue(
                Bench.read(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"))
                        .startsWith("HTTP/1.1 200 "));
    }

    /** Found on days when clients go away: workers spent a seventh of their time in vain. */
    @Test
    public void taskOfADisconnectedClientIsCancelled() throws Exception {
        start("'maxOpen':9", "'maxOpen':9,'cancelling':true");
        Socket client = sendRequest(taskRequest("i1", 3000));
        Socket atWorker = acceptAtWorker(ACCEPTED);
        client.close();
        assertTrue(Bench.read(atWorker).startsWith("DELETE /jobs/i1 HTTP/1.1\r\n"));
    }

    @DataProvider
    public Object[][] badRequests() {
        String post = "POST /p HTTP/1.1\r\n";
        return new Object[][] {
            {"nonsense\r\n\r\n", 400},
            {"GET /p HTTP/1.1\r\n\r\n", 405},
            {"POST /healthz HTTP/1.1\r\n\r\n", 405},
            {"GET /callback HTTP/1.1\r\n\r\n", 405},
            {"POST /q HTTP/1.1\r\n\r\n", 404},
            {"GET / HTTP/1.1\r\n\r\n", 404},
            {"POST /q HTTP/1.1\r\nX-Service-Class: p\r\n\r\n", 404},
            {post + "X-Service-Class: q\r\n\r\n", 400},
            {post + "\r\n", 400},
            {post + "X-Correlation-Id: a b\r\n\r\n", 400},
            {post + "X-Correlation-Id: a\r\nX-Time-Left-Ms: soon\r\n\r\n", 400},
            {post + "X-Correlation-Id: a\r\nX-Time-Left-Ms: -1\r\n\r\n", 400},
            {post + "X-Correlation-Id: a\r\nX-Facts: slots=x\r\n\r\n", 400},
            {post + "Content-Length: 70000\r\n\r\n", 413},
            {"POST /callback HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 400},
            {"POST /callback HTTP/1.1\r\nContent-Length: 2\r\n\r\n{{", 400},
            {
                "POST /callback HTTP/1.1\r\nContent-Length: 38\r\n\r\n"
                        + "{\"id\":\"a\",\"from\":\"s-1\",\"state\":\"done\"}",
                400
            },
        };
    }

    @Test(dataProvider = "badRequests")
    public void badRequestIsAnsweredAndTheNextOneIsServed(String text, int status)
            throws Exception {
        start();
        String answer = Bench.read(sendRequest(text));
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertEquals(answer.contains("\r\nAllow: "), status == 405, answer);
        assertTrue(
                Bench.read(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"))
                        .startsWith("HTTP/1.1 200 "));
    }

    @Test
    public void expectContinueIsAnswered() throws Exception {
        start();
        Socket client =
                sendRequest(
                        "POST /callback HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertTrue(Bench.read(client).startsWith("HTTP/1.1 100 "));
        Bench.write(client, "{}");
        assertTrue(Bench.read(client).startsWith("HTTP/1.1 400 "));
    }

    /**
     * Guards rule two: the second word that a task was handed back may be the first one's repeat.
     */
    @Test
    public void taskReturnedTwiceByOneWorkerIsAbandoned() throws Exception {
        start("'dueTimeMs':100", "'dueTimeMs':600");
        Socket client =
                sendRequest(taskRequest("i1", 3000).replace("X-Weight-Hint: 10000\r\n", ""));
        Socket atWorker = acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-1", "returned");
        assertTrue(Bench.read(atWorker).contains("X-Correlation-Id: i1\r\n"));
        sendCallback("i1", "s-1", "returned");
        assertTrue(Bench.read(client).startsWith("HTTP/1.1 500 "));
    }

    @Test
    public void idOfATaskInProgressIsRejected() throws Exception {
        start();
        sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        assertTrue(Bench.read(sendRequest(taskRequest("i1", 3000))).startsWith("HTTP/1.1 400 "));
    }

    @Test
    public void tasksBeyondTheOpenLimitAreRefused() throws Exception {
        start("'maxOpen':9", "'maxOpen':1");
        sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        assertTrue(Bench.read(sendRequest(taskRequest("i2", 3000))).startsWith("HTTP/1.1 503 "));
    }

    /**
     * Guards the limit on descriptors: 12 connections are allowed here, and the next one still gets
     * in.
     */
    @Test
    public void idleConnectionsAreClosedForNewOnes() throws Exception {
        start("'sockets':128", "'sockets':64");
        for (int i = 0; i < 20; i++) {
            String answer = Bench.read(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"));
            assertTrue(answer.startsWith("HTTP/1.1 200 "), "connection " + i);
        }
        assertTrue(daemon.clients.connections() <= 12);
    }

    /**
     * Found with a limit lower than the one told: the door held what it had and answered nobody.
     */
    @Test
    public void idleConnectionsAreClosedWhenOutOfDescriptors() throws Exception {
        start();
        for (int i = 0; i < 16; i++) {
            Bench.read(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"));
        }
        daemon.loop.submit(daemon.clients::outOfDescriptors);
        assertTrue(
                Bench.read(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"))
                        .startsWith("HTTP/1.1 200 "));
        assertTrue(
                daemon.clients.connections() <= 14, daemon.clients.connections() + " connections");
    }

    /**
     * Found on siracusa-indici: where the list is pushed nobody asked for it, and drains were
     * missed.
     */
    @Test
    public void listIsFollowedFromTheKnownVersion() throws Exception {
        start();
        Socket watch = discovery.accept();
        sockets.add(watch);
        assertTrue(Bench.read(watch).startsWith("GET /v1/servers?follow=1&since=7 HTTP/1.1\r\n"));
        String line = "{\"seq\":8,\"whole\":true,\"hosts\":[]}\n";
        Bench.write(
                watch,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
                        + Integer.toHexString(line.length())
                        + "\r\n"
                        + line.substring(0, 9));
        Bench.write(watch, line.substring(9) + "\r\n");
        watch.close();
        assertTrue(Bench.read(discovery.accept()).contains("since=8 "));
        String answer = Bench.read(sendRequest(taskRequest("i1", 3000)));
        assertTrue(answer.startsWith("HTTP/1.1 503 "), "a worker that is gone got a task");
    }

    /** Takes the next call for the list that comes here. */
    private String readListRequest(ServerSocket from) throws IOException {
        Socket s = from.accept();
        sockets.add(s);
        s.setSoTimeout(5000);
        return Bench.read(s);
    }

    /** Has the configuration read again, with this in its file. */
    private void reload(String text) throws IOException {
        Path file = Files.createTempFile("configuration", ".json");
        Files.writeString(file, text.replace('\'', '"'));
        daemon.reload(Map.of("GW_CONFIG", file.toString()));
        assertTrue(
                Bench.read(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"))
                        .startsWith("HTTP/1.1 200 "));
        Files.delete(file);
    }

    /** A version of another discovery says nothing of what this one has told. */
    @Test
    public void newDiscoveryIsFollowedAtOnceAndTheOldStreamCloses() throws Exception {
        start();
        assertTrue(readListRequest(discovery).contains("since=7 "));
        try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            other.setSoTimeout(5000);
            String moved =
                    node.replace(
                            ":" + discovery.getLocalPort() + "'", ":" + other.getLocalPort() + "'");
            reload(moved);
            reload(moved);
            assertTrue(readListRequest(other).contains("since=0 "));
            assertEquals(sockets.get(0).getInputStream().read(), -1);
            daemon.loop.submit(daemon.scheduler::watchList);
            sockets.get(sockets.size() - 1).close();
            assertTrue(
                    readListRequest(other).contains("since=0 "),
                    "only a watch that ended is opened again");
        }
    }

    @Test
    public void invalidConfigurationOnReloadChangesNothing() throws Exception {
        start();
        Socket watch = discovery.accept();
        sockets.add(watch);
        Bench.read(watch);
        reload("{'discovery':");
        reload(node.replace("'seed'", "'sead'"));
        reload(node);
        Bench.write(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        watch.close();
        assertTrue(readListRequest(discovery).contains("since=7 "));
    }

    /** Found in service: a signal came that Java programs end on. */
    @Test
    public void sighupDoesNotEndTheProcess() throws Exception {
        Path file = Files.createTempFile("configuration", ".json");
        Files.writeString(
                file,
                ConfigurationTest.NODE
                        .replace('\'', '"')
                        .replace("127.0.0.1:1\"", "127.0.0.1:" + discovery.getLocalPort() + "\""));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder made =
                new ProcessBuilder(
                        java,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gingerspool.Main",
                        "serve");
        made.environment().put("GW_CONFIG", file.toString());
        Process process = made.redirectErrorStream(true).start();
        try (BufferedReader log = process.inputReader()) {
            skipTo(log, " serving");
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
            skipTo(log, "config.reloaded");
            assertTrue(process.isAlive());
        } finally {
            process.destroyForcibly().waitFor();
            Files.delete(file);
        }
    }

    private static void skipTo(BufferedReader log, String text) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertNotNull(line, text + " is not in the log");
    }

    @Test
    public void drainingWorkerLosesItsIdleConnectionsDespiteInvalidListEntries() throws Exception {
        start();
        Socket watch = discovery.accept();
        sockets.add(watch);
        Socket client = sendRequest(taskRequest("i1", 3000));
        Socket atWorker = acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-1", "done");
        Bench.read(client);
        String line =
                "{\"seq\":8,\"whole\":false,\"hosts\":[{},7,{\"host\":\"s-2\",\"dial\":\"nowhere\"},"
                        + "{\"host\":\"s-1\",\"health\":\"DRAINING\"}]}\n";
        Bench.write(
                watch,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(line.length())
                        + "\r\n"
                        + line
                        + "\r\n");
        assertEquals(atWorker.getInputStream().read(), -1);
    }

    @Test
    public void shuttingDownProcessAnswersItsTasksAndExits() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        daemon.loop.submit(() -> daemon.beginShutdown(daemon.loop.now() - 2600));
        assertTrue(
                Bench.read(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"))
                        .startsWith("HTTP/1.1 503 "));
        sendCallback("i1", "s-1", "done");
        String answer = Bench.read(client);
        assertTrue(
                answer.startsWith("HTTP/1.1 200 ") && answer.contains("Connection: close\r\n"),
                answer);
        daemon.exitLatch.await();
        assertFalse(daemon.clients.connections() > 0);
    }

    /**
     * Found in planned restarts: told to close, clients opened new connections while no one took
     * any.
     */
    @Test
    public void shuttingDownProcessServesOnKeptConnections() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        Socket atWorker = acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-1", "done");
        Bench.read(client);
        daemon.loop.submit(() -> daemon.beginShutdown(daemon.loop.now() - 1500));
        Bench.write(client, taskRequest("i2", 3000));
        assertTrue(Bench.read(atWorker).contains("X-Correlation-Id: i2\r\n"));
        Bench.write(atWorker, ACCEPTED);
        sendCallback("i2", "s-1", "done");
        String answer = Bench.read(client);
        assertTrue(answer.startsWith("HTTP/1.1 200 ") && !answer.contains("close"), answer);
    }

    @Test
    public void unfinishedTasksAreAbandonedAtTheEnd() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        daemon.loop.submit(daemon.scheduler::abandonAll);
        assertTrue(Bench.read(client).startsWith("HTTP/1.1 500 "));
        assertTrue(sendCallback("i1", "s-1", "done").startsWith("HTTP/1.1 200 "));
    }

    @Test
    public void unreadableListExitsWithStatusTwo() throws Exception {
        start("'hosts'", "'hasts'");
        daemon.exitLatch.await();
        assertEquals(daemon.exitCode, 2);
    }
}
