package gingerspool.store;

import gingerspool.wire.EventLoop;
import gingerspool.wire.Outbound;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A bounded pool of connections to workers. Idle connections are kept per worker for a limited time
 * and reused, the most recently used first. When the bound is reached, the connection that has been
 * idle longest is closed to make room. Workers are identified by an index chosen by the caller.
 *
 * <p>Used by the schedulers and the platform client, each with its own pool. Thread: the event
 * loop's. Times and spans are milliseconds.
 */
public final class ConnectionPool {
    /**
     * The fraction of a worker's idle timeout after which we close an idle connection, so that we
     * close it before the worker does.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.6;

    private final EventLoop loop;
    private final double connectTimeoutMs;
    private final IdleTimeout idleTimeout;
    private int maxConnections;
    private final List<WorkerConnections> byWorker = new ArrayList<>();

    /** The idle connections to all workers, the longest idle first. */
    private final Set<Outbound> idleConnections = new LinkedHashSet<>();

    /** Callbacks of {@link #tryConnect} by connection. */
    private final Map<Outbound, Consumer<Boolean>> connectCallbacks = new HashMap<>();

    /** Open connections, including those being established. */
    private int count;

    /**
     * Creates an empty pool.
     *
     * @param workerIdleTimeoutMs how long workers keep an idle connection open
     */
    public ConnectionPool(
            EventLoop loop,
            double connectTimeoutMs,
            double workerIdleTimeoutMs,
            int maxConnections) {
        this.loop = loop;
        this.connectTimeoutMs = connectTimeoutMs;
        idleTimeout = new IdleTimeout(IDLE_TIMEOUT_FRACTION * workerIdleTimeoutMs);
        this.maxConnections = maxConnections;
    }

    /** The idle connections to one worker, the most recently used on top. */
    private final class WorkerConnections implements Outbound.Owner {
        private final Deque<Outbound> idle = new ArrayDeque<>();

        /** Whether connections are kept for reuse; otherwise they are closed after each use. */
        private boolean keepIdle = true;

        @Override
        public void free(Outbound connection) {
            double timeoutMs =
                    Math.min(
                            idleTimeout.currentMs(loop.now()),
                            IDLE_TIMEOUT_FRACTION * connection.keptFor());
            if (keepIdle && timeoutMs > 0) {
                idle.push(connection);
                idleConnections.add(connection);
                connection.closeAfter(timeoutMs);
            } else {
                connection.close();
            }
        }

        @Override
        public void brokeAfterRest(double idleMs) {
            idleTimeout.reuseFailed(loop.now(), idleMs);
        }

        @Override
        public void up(Outbound connection) {
            Consumer<Boolean> callback = connectCallbacks.remove(connection);
            if (callback != null) {
                free(connection);
                callback.accept(true);
            }
        }

        @Override
        public void closed(Outbound connection) {
            count--;
            idle.remove(connection);
            idleConnections.remove(connection);
            Consumer<Boolean> callback = connectCallbacks.remove(connection);
            if (callback != null) {
                callback.accept(false);
            }
        }
    }

    private WorkerConnections connectionsOf(int worker) {
        while (byWorker.size() <= worker) {
            byWorker.add(new WorkerConnections());
        }
        return byWorker.get(worker);
    }

    /**
     * Opens a connection to a worker that may not be listening yet. If it is established, it is
     * kept as an idle connection.
     *
     * @param callback receives whether the connection was established, on the event loop's thread
     * @throws IOException if the pool is at its bound or the process is out of descriptors
     */
    public void tryConnect(int worker, InetSocketAddress address, Consumer<Boolean> callback)
            throws IOException {
        if (count >= maxConnections) {
            throw new IOException("all " + maxConnections + " connections to workers are in use");
        }
        WorkerConnections connections = connectionsOf(worker);
        connectCallbacks.put(Outbound.open(loop, address, connectTimeoutMs, connections), callback);
        count++;
    }

    /**
     * Returns a connection to this worker, an idle one or else a new one. The caller must send a
     * request on it at once.
     *
     * @throws IOException if all connections are busy or the process is out of descriptors
     */
    public Outbound acquire(int worker, InetSocketAddress address) throws IOException {
        WorkerConnections connections = connectionsOf(worker);
        // The top one was used last: if it has been idle for too long, so have the others.
        double timeoutMs = idleTimeout.currentMs(loop.now());
        while (!connections.idle.isEmpty() && connections.idle.peek().restedFor() > timeoutMs) {
            // Removed first: closed() is called only later if the connection is still writing.
            Outbound expired = connections.idle.poll();
            idleConnections.remove(expired);
            expired.close();
        }
        Outbound connection = connections.idle.poll();
        if (connection != null) {
            idleConnections.remove(connection);
            return connection;
        }
        if (count >= maxConnections && !idleConnections.isEmpty()) {
            idleConnections.iterator().next().close();
        }
        if (count >= maxConnections) {
            throw new IOException("all " + maxConnections + " connections to workers are busy");
        }
        connection = Outbound.open(loop, address, connectTimeoutMs, connections);
        count++;
        return connection;
    }

    /** Changes the bound; open connections beyond a lower bound stay open. */
    public void setMaxConnections(int newMaximum) {
        maxConnections = newMaximum;
    }

    /**
     * Sets whether connections to this worker are kept for reuse. If not, its idle connections are
     * closed now and the busy ones after their request. Has no effect on a worker whose index is
     * above the highest one connected to so far.
     */
    public void setKeepIdle(int worker, boolean keepIdle) {
        if (worker >= byWorker.size()) {
            return;
        }
        byWorker.get(worker).keepIdle = keepIdle;
        if (!keepIdle) {
            closeIdle(worker);
        }
    }

    /** Closes the idle connections to this worker. */
    public void closeIdle(int worker) {
        if (worker < byWorker.size()) {
            List.copyOf(byWorker.get(worker).idle).forEach(Outbound::close);
        }
    }

    /** Returns the number of open connections, including those being established. */
    public int size() {
        return count;
    }
}
