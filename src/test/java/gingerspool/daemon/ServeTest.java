package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import gingerspool.dispatch.DispatcherHarness;
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
 * A complete daemon on loopback sockets, from a client's request to its answer. The test itself
 * plays the clients, a worker and discovery.
 */
public class ServeTest {
    /** A worker's response to a task that it accepts. */
    private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

    /** A worker's response to a task that it refuses without having run it. */
    private static final String UNPROCESSED =
            "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n" + "Content-Length: 0\r\n\r\n";

    /** Closed after the test. */
    private final List<Socket> sockets = new ArrayList<>();

    private ServerSocket worker;
    private ServerSocket discovery;
    private Daemon daemon;

    /** The daemon's configuration. */
    private String node;

    @BeforeMethod
    public void listen() throws IOException {
        worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        worker.setSoTimeout(5000);
        discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        discovery.setSoTimeout(5000);
    }

    /**
     * Starts a daemon that knows the test's worker. Its configuration is that of ConfigurationTest,
     * with the text replaced.
     */
    private void start(String text, String replacement) throws Exception {
        String knownList =
                "'known':{'seq':7,'whole':true,'hosts':[{'host':'s-1','dial':'127.0.0.1:"
                        + worker.getLocalPort()
                        + "','site':'a','class':'m','block':0,'health':'SERVING','share':4,"
                        + "'born_ms':0}]},";
        node =
                ConfigurationTest.NODE
                        .replace("127.0.0.1:1'", "127.0.0.1:" + discovery.getLocalPort() + "'")
                        .replace("'settings'", knownList + "'settings'")
                        .replace("'safe'", "'unsafe'")
                        .replace(text, replacement);
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

    /** Sends this text on a new connection. */
    private Socket sendRequest(String text) throws IOException {
        Socket s = connectClient();
        DispatcherHarness.write(s, text);
        return s;
    }

    /** A client's request with this time left, in milliseconds. */
    private static String taskRequest(String id, int timeLeft) {
        return "POST /p HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: "
                + id
                + "\r\nX-Service-Class: p\r\n"
                + "X-Weight-Hint: 10000\r\nX-Time-Left-Ms: "
                + timeLeft
                + "\r\nContent-Length: 2\r\n\r\nhi";
    }

    /** Sends a worker's callback on a new connection and returns the response. */
    private String sendCallback(String id, String from, String state) throws IOException {
        String body =
                "{\"id\":\""
                        + id
                        + "\",\"from\":\""
                        + from
                        + "\",\"state\":\""
                        + state
                        + "\",\"result\":\"made \\u00e9\"}";
        return DispatcherHarness.readMessage(
                sendRequest(
                        "POST /callback HTTP/1.1\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body));
    }

    /** Accepts a connection as the worker, reads a task from it and sends this response. */
    private Socket acceptAtWorker(String response) throws IOException {
        Socket s = worker.accept();
        sockets.add(s);
        s.setSoTimeout(5000);
        assertTrue(DispatcherHarness.readMessage(s).startsWith("POST /p HTTP/1.1\r\n"));
        DispatcherHarness.write(s, response);
        return s;
    }

    @Test
    public void taskIsAnsweredWithTheResultOfItsWorker() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        assertTrue(sendCallback("i1", "s-1", "done").startsWith("HTTP/1.1 200 "));
        String answer = DispatcherHarness.readMessage(client);
        assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("made \u00e9"), answer);
        assertTrue(
                sendCallback("i1", "s-1", "done").startsWith("HTTP/1.1 200 "),
                "a repeated callback must be acknowledged");
    }

    @Test
    public void workerConnectionIsReused() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        Socket workerConnection = acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-1", "done");
        DispatcherHarness.readMessage(client);
        DispatcherHarness.write(client, taskRequest("i2", 3000));
        assertTrue(
                DispatcherHarness.readMessage(workerConnection)
                        .contains("X-Correlation-Id: i2\r\n"));
    }

    /**
     * Guards tasks against connections that a worker or the network drops silently while they are
     * idle: each such connection cost a task.
     */
    @Test
    public void connectionsIdleLongerThanABrokenOneAreNotReused() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        Socket older = acceptAtWorker("");
        sendRequest(taskRequest("i2", 3000));
        Socket newer = acceptAtWorker("");
        DispatcherHarness.write(older, ACCEPTED);
        sendCallback("i1", "s-1", "done");
        DispatcherHarness.readMessage(client);
        DispatcherHarness.write(newer, ACCEPTED);
        sendCallback("i2", "s-1", "done");
        // A connection that breaks after being idle for less than 6 ms reduces the idle limit to
        // its
        // minimum, and the other connection may have been idle for less than that.
        long since = System.nanoTime();
        // On one connection, as new ones would have idle ones closed, the oldest first.
        Socket pollingClient = connectClient();
        while (System.nanoTime() - since < 20_000_000) {
            DispatcherHarness.write(pollingClient, "GET /healthz HTTP/1.1\r\n\r\n");
            DispatcherHarness.readMessage(pollingClient);
        }
        DispatcherHarness.write(client, taskRequest("i3", 3000));
        assertTrue(DispatcherHarness.readMessage(newer).contains("X-Correlation-Id: i3\r\n"));
        newer.close();
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 500 "));
        DispatcherHarness.write(client, taskRequest("i4", 3000));
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
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 200 "));
    }

    @Test
    public void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000) + "GET /healthz HTTP/1.1\r\n\r\n");
        acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-1", "done");
        assertTrue(DispatcherHarness.readMessage(client).endsWith("made \u00e9"));
        assertTrue(DispatcherHarness.readMessage(client).endsWith("ready\n"));
    }

    /** Guards rule two: a worker that disconnects before its response may have run the task. */
    @Test
    public void connectionClosedBeforeTheResponseAbandonsASideEffectingTask() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker("").close();
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 500 "));
    }

    @Test
    public void taskForAnUnreachableWorkerIsBounced() throws Exception {
        start();
        worker.close();
        assertTrue(
                DispatcherHarness.readMessage(sendRequest(taskRequest("i1", 3000)))
                        .startsWith("HTTP/1.1 503 "));
    }

    @Test
    public void taskThatItsWorkerRefusesIsBounced() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(UNPROCESSED);
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 503 "));
    }

    @Test
    public void acceptedTaskIsCancelledByADeleteRequestBeforeItsExpiry() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 800));
        Socket workerConnection = acceptAtWorker(ACCEPTED);
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 500 "));
        assertTrue(
                DispatcherHarness.readMessage(workerConnection)
                        .startsWith("DELETE /jobs/i1 HTTP/1.1\r\n"));
    }

    @Test
    public void taskWithoutAResponseIsCancelledByClosingItsConnection() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 800));
        Socket workerConnection = acceptAtWorker("");
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 500 "));
        assertEquals(workerConnection.getInputStream().read(), -1);
    }

    @Test
    public void callbackForADisconnectedClientIsAcknowledged() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        client.close();
        assertTrue(sendCallback("i1", "s-1", "done").startsWith("HTTP/1.1 200 "));
        assertTrue(
                DispatcherHarness.readMessage(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"))
                        .startsWith("HTTP/1.1 200 "));
    }

    /**
     * Guards workers against tasks whose clients have disconnected: they spent a seventh of their
     * time on such tasks.
     */
    @Test
    public void taskOfADisconnectedClientIsCancelled() throws Exception {
        start("'maxOpen':9", "'maxOpen':9,'cancelling':true");
        Socket client = sendRequest(taskRequest("i1", 3000));
        Socket workerConnection = acceptAtWorker(ACCEPTED);
        client.close();
        assertTrue(
                DispatcherHarness.readMessage(workerConnection)
                        .startsWith("DELETE /jobs/i1 HTTP/1.1\r\n"));
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
        String answer = DispatcherHarness.readMessage(sendRequest(text));
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
        assertEquals(answer.contains("\r\nAllow: "), status == 405, answer);
        assertTrue(
                DispatcherHarness.readMessage(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"))
                        .startsWith("HTTP/1.1 200 "));
    }

    @Test
    public void requestExpectingContinueIsAnswered() throws Exception {
        start();
        Socket client =
                sendRequest(
                        "POST /callback HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 100 "));
        DispatcherHarness.write(client, "{}");
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 400 "));
    }

    /**
     * Guards rule two: the second callback that returns a task may be a repetition of the first.
     */
    @Test
    public void taskReturnedTwiceByOneWorkerIsAbandoned() throws Exception {
        start("'dueTimeMs':100", "'dueTimeMs':600");
        Socket client =
                sendRequest(taskRequest("i1", 3000).replace("X-Weight-Hint: 10000\r\n", ""));
        Socket workerConnection = acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-1", "returned");
        assertTrue(
                DispatcherHarness.readMessage(workerConnection)
                        .contains("X-Correlation-Id: i1\r\n"));
        sendCallback("i1", "s-1", "returned");
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 500 "));
    }

    @Test
    public void idOfATaskInProgressIsRejected() throws Exception {
        start();
        sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        assertTrue(
                DispatcherHarness.readMessage(sendRequest(taskRequest("i1", 3000)))
                        .startsWith("HTTP/1.1 400 "));
    }

    @Test
    public void tasksBeyondTheOpenLimitAreRefused() throws Exception {
        start("'maxOpen':9", "'maxOpen':1");
        sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        assertTrue(
                DispatcherHarness.readMessage(sendRequest(taskRequest("i2", 3000)))
                        .startsWith("HTTP/1.1 503 "));
    }

    /**
     * Guards the descriptor limit: 12 client connections are allowed here, and further ones are
     * still accepted.
     */
    @Test
    public void idleConnectionsAreClosedForNewOnes() throws Exception {
        start("'sockets':128", "'sockets':64");
        for (int i = 0; i < 20; i++) {
            String answer =
                    DispatcherHarness.readMessage(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"));
            assertTrue(answer.startsWith("HTTP/1.1 200 "), "connection " + i);
        }
        assertTrue(daemon.clients.connections() <= 12);
    }

    /**
     * Guards against a descriptor limit that is lower than the configured one: the client endpoint
     * kept the connections that it had and answered no new client.
     */
    @Test
    public void idleConnectionsAreClosedWhenOutOfDescriptors() throws Exception {
        start();
        for (int i = 0; i < 16; i++) {
            DispatcherHarness.readMessage(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"));
        }
        daemon.loop.submit(daemon.clients::outOfDescriptors);
        assertTrue(
                DispatcherHarness.readMessage(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"))
                        .startsWith("HTTP/1.1 200 "));
        assertTrue(
                daemon.clients.connections() <= 14, daemon.clients.connections() + " connections");
    }

    /**
     * Guards drains of workers where discovery pushes the list of workers, as on siracusa-indici:
     * the list was not requested, so drains were missed.
     */
    @Test
    public void listIsFollowedFromTheKnownVersion() throws Exception {
        start();
        Socket discoveryStream = discovery.accept();
        sockets.add(discoveryStream);
        assertTrue(
                DispatcherHarness.readMessage(discoveryStream)
                        .startsWith("GET /v1/servers?follow=1&since=7 HTTP/1.1\r\n"));
        String update = "{\"seq\":8,\"whole\":true,\"hosts\":[]}\n";
        DispatcherHarness.write(
                discoveryStream,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
                        + Integer.toHexString(update.length())
                        + "\r\n"
                        + update.substring(0, 9));
        DispatcherHarness.write(discoveryStream, update.substring(9) + "\r\n");
        discoveryStream.close();
        assertTrue(DispatcherHarness.readMessage(discovery.accept()).contains("since=8 "));
        String answer = DispatcherHarness.readMessage(sendRequest(taskRequest("i1", 3000)));
        assertTrue(answer.startsWith("HTTP/1.1 503 "), "a removed worker must get no task");
    }

    /** Accepts a connection as this discovery and reads the request for the list from it. */
    private String readListRequest(ServerSocket server) throws IOException {
        Socket s = server.accept();
        sockets.add(s);
        s.setSoTimeout(5000);
        return DispatcherHarness.readMessage(s);
    }

    /** Reloads the configuration with this content and waits until the daemon answers again. */
    private void reload(String configuration) throws IOException {
        Path file = Files.createTempFile("configuration", ".json");
        Files.writeString(file, configuration.replace('\'', '"'));
        daemon.reload(Map.of("GW_CONFIG", file.toString()));
        assertTrue(
                DispatcherHarness.readMessage(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"))
                        .startsWith("HTTP/1.1 200 "));
        Files.delete(file);
    }

    /** The version of the old discovery's list is meaningless to the new one. */
    @Test
    public void newDiscoveryIsFollowedAtOnceAndTheOldStreamCloses() throws Exception {
        start();
        assertTrue(readListRequest(discovery).contains("since=7 "));
        try (ServerSocket newDiscovery =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            newDiscovery.setSoTimeout(5000);
            String newConfiguration =
                    node.replace(
                            ":" + discovery.getLocalPort() + "'",
                            ":" + newDiscovery.getLocalPort() + "'");
            reload(newConfiguration);
            reload(newConfiguration);
            assertTrue(readListRequest(newDiscovery).contains("since=0 "));
            assertEquals(sockets.get(0).getInputStream().read(), -1);
            daemon.loop.submit(daemon.scheduler::watchList);
            sockets.get(sockets.size() - 1).close();
            assertTrue(
                    readListRequest(newDiscovery).contains("since=0 "),
                    "a list request must be repeated only after its stream has ended");
        }
    }

    @Test
    public void invalidConfigurationOnReloadChangesNothing() throws Exception {
        start();
        Socket discoveryStream = discovery.accept();
        sockets.add(discoveryStream);
        DispatcherHarness.readMessage(discoveryStream);
        reload("{'discovery':");
        reload(node.replace("'seed'", "'sead'"));
        reload(node);
        DispatcherHarness.write(
                discoveryStream,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
        discoveryStream.close();
        assertTrue(readListRequest(discovery).contains("since=7 "));
    }

    /** Guards a process in service: by default a Java program exits on SIGHUP. */
    @Test
    public void sighupDoesNotEndTheProcess() throws Exception {
        Path file = Files.createTempFile("configuration", ".json");
        Files.writeString(
                file,
                ConfigurationTest.NODE
                        .replace('\'', '"')
                        .replace("127.0.0.1:1\"", "127.0.0.1:" + discovery.getLocalPort() + "\""));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder =
                new ProcessBuilder(
                        java,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gingerspool.Main",
                        "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        Process process = builder.redirectErrorStream(true).start();
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

    /** Reads the log up to the first line that contains this text. */
    private static void skipTo(BufferedReader log, String text) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertNotNull(line, text + " is missing from the log");
    }

    @Test
    public void drainingWorkerLosesItsIdleConnectionsDespiteInvalidListEntries() throws Exception {
        start();
        Socket discoveryStream = discovery.accept();
        sockets.add(discoveryStream);
        Socket client = sendRequest(taskRequest("i1", 3000));
        Socket workerConnection = acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-1", "done");
        DispatcherHarness.readMessage(client);
        String update =
                "{\"seq\":8,\"whole\":false,\"hosts\":[{},7,{\"host\":\"s-2\",\"dial\":\"nowhere\"},"
                        + "{\"host\":\"s-1\",\"health\":\"DRAINING\"}]}\n";
        DispatcherHarness.write(
                discoveryStream,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(update.length())
                        + "\r\n"
                        + update
                        + "\r\n");
        assertEquals(workerConnection.getInputStream().read(), -1);
    }

    @Test
    public void shuttingDownProcessAnswersItsTasksAndExits() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        daemon.loop.submit(() -> daemon.beginShutdown(daemon.loop.now() - 2600));
        assertTrue(
                DispatcherHarness.readMessage(sendRequest("GET /healthz HTTP/1.1\r\n\r\n"))
                        .startsWith("HTTP/1.1 503 "));
        sendCallback("i1", "s-1", "done");
        String answer = DispatcherHarness.readMessage(client);
        assertTrue(
                answer.startsWith("HTTP/1.1 200 ") && answer.contains("Connection: close\r\n"),
                answer);
        daemon.exitLatch.await();
        assertFalse(daemon.clients.connections() > 0);
    }

    /**
     * Guards planned restarts, in which no process may accept connections for a while: clients that
     * were told to close theirs opened new ones.
     */
    @Test
    public void shuttingDownProcessServesOnKeptConnections() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        Socket workerConnection = acceptAtWorker(ACCEPTED);
        sendCallback("i1", "s-1", "done");
        DispatcherHarness.readMessage(client);
        daemon.loop.submit(() -> daemon.beginShutdown(daemon.loop.now() - 1500));
        DispatcherHarness.write(client, taskRequest("i2", 3000));
        assertTrue(
                DispatcherHarness.readMessage(workerConnection)
                        .contains("X-Correlation-Id: i2\r\n"));
        DispatcherHarness.write(workerConnection, ACCEPTED);
        sendCallback("i2", "s-1", "done");
        String answer = DispatcherHarness.readMessage(client);
        assertTrue(answer.startsWith("HTTP/1.1 200 ") && !answer.contains("close"), answer);
    }

    @Test
    public void unfinishedTasksAreAbandonedAtTheEnd() throws Exception {
        start();
        Socket client = sendRequest(taskRequest("i1", 3000));
        acceptAtWorker(ACCEPTED);
        daemon.loop.submit(daemon.scheduler::abandonAll);
        assertTrue(DispatcherHarness.readMessage(client).startsWith("HTTP/1.1 500 "));
        assertTrue(sendCallback("i1", "s-1", "done").startsWith("HTTP/1.1 200 "));
    }

    @Test
    public void unreadableListExitsWithStatusTwo() throws Exception {
        start("'hosts'", "'hasts'");
        daemon.exitLatch.await();
        assertEquals(daemon.exitCode, 2);
    }
}
