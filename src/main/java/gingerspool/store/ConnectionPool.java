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
 * Our connections to workers: those at rest are kept by worker for a while, the latest is used
 * first.
 */
public final class ConnectionPool {
    /** A resting connection is closed after this part of the time that workers allow. */
    private static final double IDLE_PART = 0.6;

    private final EventLoop loop;
    private final double connectWithin;
    private final IdleTimeout rest;
    private int most;
    private final List<WorkerConnections> byWorker = new ArrayList<>();

    /** The longest at rest first. */
    private final Set<Outbound> resting = new LinkedHashSet<>();

    private final Map<Outbound, Consumer<Boolean>> connectCallbacks = new HashMap<>();
    private int count;

    public ConnectionPool(EventLoop loop, double connectWithin, double idleMost, int most) {
        this.loop = loop;
        this.connectWithin = connectWithin;
        rest = new IdleTimeout(IDLE_PART * idleMost);
        this.most = most;
    }

    /** The connections to one worker. */
    private final class WorkerConnections implements Outbound.Owner {
        private final Deque<Outbound> free = new ArrayDeque<>();
        private boolean kept = true;

        @Override
        public void free(Outbound connection) {
            double span = Math.min(rest.span(loop.now()), IDLE_PART * connection.keptFor());
            if (kept && span > 0) {
                free.push(connection);
                resting.add(connection);
                connection.closeAfter(span);
            } else {
                connection.close();
            }
        }

        @Override
        public void brokeAfterRest(double rested) {
            rest.broke(loop.now(), rested);
        }

        @Override
        public void up(Outbound connection) {
            Consumer<Boolean> tryConnect = connectCallbacks.remove(connection);
            if (tryConnect != null) {
                free(connection);
                tryConnect.accept(true);
            }
        }

        @Override
        public void closed(Outbound connection) {
            count--;
            free.remove(connection);
            resting.remove(connection);
            Consumer<Boolean> tryConnect = connectCallbacks.remove(connection);
            if (tryConnect != null) {
                tryConnect.accept(false);
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
     * Opens one to a worker that may not be up yet; tells whether it came up, and is kept at rest
     * then.
     */
    public void tryConnect(int worker, InetSocketAddress address, Consumer<Boolean> then)
            throws IOException {
        if (count >= most) {
            throw new IOException("all " + most + " connections to workers are in use");
        }
        WorkerConnections connectionsOf = connectionsOf(worker);
        connectCallbacks.put(Outbound.open(loop, address, connectWithin, connectionsOf), then);
        count++;
    }

    /** A connection to this worker, at rest or new; it must be used at once. */
    public Outbound take(int worker, InetSocketAddress address) throws IOException {
        WorkerConnections connectionsOf = connectionsOf(worker);
        // The latest one is on top: if it has rested too long, so have the others.
        double span = rest.span(loop.now());
        while (!connectionsOf.free.isEmpty() && connectionsOf.free.peek().restedFor() > span) {
            // Taken out first: one that still writes is told closed only later.
            Outbound old = connectionsOf.free.poll();
            resting.remove(old);
            old.close();
        }
        Outbound connection = connectionsOf.free.poll();
        if (connection != null) {
            resting.remove(connection);
            return connection;
        }
        if (count >= most && !resting.isEmpty()) {
            resting.iterator().next().close();
        }
        if (count >= most) {
            throw new IOException("all " + most + " connections to workers are busy");
        }
        connection = Outbound.open(loop, address, connectWithin, connectionsOf);
        count++;
        return connection;
    }

    /** Holds so many connections at the most from now on. */
    public void most(int connections) {
        most = connections;
    }

    /** Whether connections to this worker are kept at rest; if not, those that are get closed. */
    public void keep(int worker, boolean kept) {
        if (worker >= byWorker.size()) {
            return;
        }
        byWorker.get(worker).kept = kept;
        if (!kept) {
            empty(worker);
        }
    }

    /** Closes the connections to this worker that are at rest. */
    public void empty(int worker) {
        if (worker < byWorker.size()) {
            List.copyOf(byWorker.get(worker).free).forEach(Outbound::close);
        }
    }

    public int size() {
        return count;
    }
}
