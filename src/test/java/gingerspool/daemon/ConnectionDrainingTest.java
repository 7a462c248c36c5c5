package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.RequestHandlerStub;
import gingerspool.wire.ClientEndpoint;
import gingerspool.wire.ModelChannelLoop;
import gingerspool.wire.ModelServerChannel;
import gingerspool.wire.ModelSocketChannel;
import gingerspool.wire.TaskRequest;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * How a process that ends or is drained disposes of its connections. Guards against the loss of
 * first requests by a superseded process whose shutdown was due: the successor's claim was late or
 * had failed, so the kernel still sent clients to the old listener, which was closed at that moment
 * (log events `leaving.abandoned` and `listener.closed accepting=true`, then resets). The kernel's
 * accept queue and the time are modelled.
 */
public class ConnectionDrainingTest {
    /** The shutdown period together with the time for refusals after it. */
    private static final double SHUTDOWN_PERIOD_MS = 2600;

    private static final double QUIET_PERIOD_MS = 700;
    private static final double APPLY_INTERVAL_MS = 20;
    private static final int MAX_CONNECTIONS = 100;
    private static final String REQUEST =
            "POST /p HTTP/1.1\r\nX-Correlation-Id: i1\r\nContent-Length: 0\r\n\r\n";

    private ProcessLifecycle lifecycle;
    private ModelChannelLoop loop;
    private ClientEndpoint clients;
    private ModelServerChannel channel;
    private ConnectionDraining draining;
    private UnansweredTasks tasks;
    private double shutdownStartedAt;
    private boolean hasFinished;

    /** Keeps every task until all are abandoned. */
    private static final class UnansweredTasks extends RequestHandlerStub
            implements ConnectionDraining.Tasks {
        private final List<TaskRequest> all = new ArrayList<>();

        @Override
        public void arrived(TaskRequest request) {
            all.add(request);
        }

        @Override
        public int unanswered() {
            return all.size();
        }

        @Override
        public void abandonAll() {
            all.forEach(task -> ClientEndpoint.abandoned(task.client()));
            all.clear();
        }
    }

    /** A superseded process gets SIGTERM. */
    @BeforeMethod
    public void startShutdown() throws IOException {
        serve();
        lifecycle.superseded(loop.now());
        shutdownStartedAt = loop.now();
        lifecycle.shutDown(
                shutdownStartedAt, SHUTDOWN_PERIOD_MS - ProcessLifecycle.REFUSAL_PERIOD_MS);
        applyPeriodically();
    }

    /** Starts a process that serves. */
    private void serve() throws IOException {
        loop = new ModelChannelLoop();
        lifecycle = new ProcessLifecycle();
        tasks = new UnansweredTasks();
        clients =
                new ClientEndpoint(
                        loop, new InetSocketAddress("127.0.0.1", 1), true, MAX_CONNECTIONS, tasks);
        clients.listen();
        clients.open();
        channel = loop.listening;
        draining = new ConnectionDraining(lifecycle, clients, tasks);
        hasFinished = false;
        lifecycle.started();
    }

    private void applyPeriodically() {
        draining.apply(loop.now());
        hasFinished = lifecycle.mayExit(loop.now(), false) && draining.finishIfEmpty(loop.now());
        if (!hasFinished) {
            loop.schedule(APPLY_INTERVAL_MS, this::applyPeriodically);
        }
    }

    /** Runs until this long before the end of the shutdown period and its refusals. */
    private void runUntilBeforeEnd(double beforeEnd) {
        loop.run(shutdownStartedAt + SHUTDOWN_PERIOD_MS - beforeEnd - loop.now());
    }

    /** Connects a client and has its connection accepted. */
    private ModelSocketChannel acceptClient(int port) {
        ModelSocketChannel client = channel.arrive(port);
        loop.run(0);
        return client;
    }

    private void assertRefused(ModelSocketChannel client) {
        String answer = client.answered.toString();
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(answer.contains("Connection: close\r\n"), answer);
    }

    /**
     * Guards first requests: the successor made no claim, and a client writes after the tasks were
     * abandoned.
     */
    @Test
    public void clientWritingAfterShutdownIsDueIsRefused() {
        runUntilBeforeEnd(ProcessLifecycle.REFUSAL_PERIOD_MS + 1);
        ModelSocketChannel client = acceptClient(2);
        runUntilBeforeEnd(ProcessLifecycle.REFUSAL_PERIOD_MS / 2);
        client.say(REQUEST);
        loop.run(0);
        assertRefused(client);
        assertEquals(channel.reset.size(), 0);
    }

    /**
     * Guards first requests that wait in the kernel's accept queue while the process is not
     * scheduled on a processor.
     */
    @Test
    public void queuedClientsAreRefused() {
        runUntilBeforeEnd(ProcessLifecycle.REFUSAL_PERIOD_MS + 1);
        channel.starve(true);
        List<ModelSocketChannel> waiting = new ArrayList<>();
        for (int client = 0; client < 5; client++) {
            waiting.add(channel.arrive(10 + client));
        }
        loop.run(APPLY_INTERVAL_MS);
        channel.starve(false);
        loop.run(APPLY_INTERVAL_MS);
        waiting.forEach(client -> client.say(REQUEST));
        loop.run(APPLY_INTERVAL_MS);
        waiting.forEach(this::assertRefused);
        assertEquals(channel.reset.size(), 0);
    }

    /** A client that never writes must not keep the process from exiting. */
    @Test
    public void silentClientDoesNotDelayExit() {
        channel.arrive(2);
        runUntilBeforeEnd(1);
        assertFalse(hasFinished);
        runUntilBeforeEnd(-APPLY_INTERVAL_MS);
        assertTrue(hasFinished);
    }

    /** Accepted tasks are answered as abandoned, since their effect is not known. */
    @Test
    public void unansweredTasksAreAbandonedBeforeTheEnd() {
        ModelSocketChannel client = acceptClient(2);
        client.say(REQUEST);
        runUntilBeforeEnd(ProcessLifecycle.REFUSAL_PERIOD_MS + 1);
        assertEquals(tasks.unanswered(), 1);
        runUntilBeforeEnd(ProcessLifecycle.REFUSAL_PERIOD_MS - APPLY_INTERVAL_MS);
        assertEquals(tasks.unanswered(), 0);
        assertTrue(client.answered.toString().startsWith("HTTP/1.1 500 "), client.answered + "");
    }

    /**
     * Guards first requests: the claim succeeded, so the listener closes only once no connection
     * has arrived for the quiet period.
     */
    @Test
    public void supersededProcessExitsAfterTheQuietPeriod() {
        loop.run(QUIET_PERIOD_MS);
        draining.successorListens(true, QUIET_PERIOD_MS);
        loop.run(QUIET_PERIOD_MS / 2);
        ModelSocketChannel client = acceptClient(2);
        client.say(REQUEST.replace("POST /p", "GET /healthz"));
        loop.run(QUIET_PERIOD_MS - 1);
        assertFalse(hasFinished);
        loop.run(QUIET_PERIOD_MS);
        assertTrue(hasFinished);
        assertEquals(channel.reset.size(), 0);
    }

    /**
     * Guards first requests: without a claim clients are accepted until the shutdown period ends.
     */
    @Test
    public void listenerStaysOpenWithoutWordFromTheSuccessor() {
        for (double remaining = SHUTDOWN_PERIOD_MS;
                remaining > ProcessLifecycle.REFUSAL_PERIOD_MS;
                remaining -= QUIET_PERIOD_MS / 2) {
            runUntilBeforeEnd(remaining);
            ModelSocketChannel client = acceptClient((int) remaining);
            client.say(REQUEST.replace("POST /p", "GET /healthz"));
            loop.run(0);
            assertTrue(client.answered.toString().startsWith("HTTP/1.1 200 "), "at " + remaining);
        }
        assertEquals(channel.reset.size(), 0);
    }

    /**
     * Guards first requests: a drained process that was not scheduled on a processor for 1.5 s
     * closed connections whose requests had arrived meanwhile (`ended without an answer`,
     * day-to-day, seed 710102).
     */
    @Test
    public void drainedProcessAnswersAFirstRequestReadLate() throws IOException {
        serve();
        lifecycle.drain(loop.now());
        applyPeriodically();
        ModelSocketChannel client = acceptClient(2);
        loop.run(2 * QUIET_PERIOD_MS + QUIET_PERIOD_MS);
        client.say(REQUEST.replace("POST /p", "GET /healthz"));
        loop.run(0);
        assertTrue(client.answered.toString().startsWith("HTTP/1.1 "), client.answered + "");
    }

    /** Operators rely on it: a drained process disconnects clients that never write within 4 s. */
    @Test
    public void drainedProcessDisconnectsSilentClients() throws IOException {
        serve();
        lifecycle.drain(loop.now());
        applyPeriodically();
        acceptClient(2);
        loop.run(4000 - APPLY_INTERVAL_MS);
        assertEquals(clients.connections(), 0);
    }

    /**
     * Guards first requests: a drained process was not scheduled on a processor for most of 3 s,
     * and closed as idle new connections with 24 unread requests (day-to-day, seed 710302).
     */
    @Test
    public void lateDrainedProcessReadsBeforeItCloses() throws IOException {
        serve();
        lifecycle.drain(loop.now());
        draining.apply(loop.now());
        ModelSocketChannel client = acceptClient(2);
        loop.run(4000);
        draining.apply(loop.now());
        loop.run(APPLY_INTERVAL_MS);
        client.say(REQUEST.replace("POST /p", "GET /healthz"));
        loop.run(0);
        assertTrue(client.answered.toString().startsWith("HTTP/1.1 "), client.answered + "");
    }

    /**
     * Operators rely on it: once its loop is on time again, a drained process disconnects clients
     * that never write.
     */
    @Test
    public void drainedProcessDisconnectsSilentClientsOnceOnTime() throws IOException {
        serve();
        lifecycle.drain(loop.now());
        draining.apply(loop.now());
        acceptClient(2);
        loop.run(4000);
        applyPeriodically();
        loop.run(500 + 2 * APPLY_INTERVAL_MS);
        assertEquals(clients.connections(), 0);
    }

    /** The same where the loop was late by 100 ms twice within the last second. */
    @Test
    public void silentClientsAreDisconnectedInTimeDespiteALateLoop() throws IOException {
        serve();
        lifecycle.drain(loop.now());
        applyPeriodically();
        acceptClient(2);
        double drainedAt = loop.now();
        loop.run(2950);
        loop.stall(100);
        loop.run(450);
        loop.stall(100);
        loop.run(drainedAt + 4000 - loop.now());
        assertEquals(clients.connections(), 0);
    }
}
