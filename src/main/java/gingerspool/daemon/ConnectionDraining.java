package gingerspool.daemon;

import gingerspool.wire.ClientEndpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the process's lifecycle to the clients' endpoint: the answers to health checks, which
 * connections are closed, and when the listener closes. Called by {@link Daemon} at each change of
 * the lifecycle, and periodically while it changes with time.
 *
 * <p>A listener whose address another process shares closes only once that process receives all new
 * connections and none has arrived here for a while. If that does not happen before the shutdown
 * period ends, clients are accepted and refused until shortly before the process is killed: a
 * refusal is an answer, a reset is a lost request.
 *
 * <p>Thread: the event loop. Times are milliseconds on its clock.
 */
final class ConnectionDraining {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionDraining.class);

    /** How often the lifecycle is applied while it changes with time, in milliseconds. */
    static final double APPLY_INTERVAL_MS = 20;

    /**
     * The loop counts as late when the lifecycle is applied this much after it was due, in
     * milliseconds.
     */
    private static final double LATE_THRESHOLD_MS = 50;

    /**
     * How long the loop must be on time after it was late until it counts as having read what
     * arrived meanwhile, in milliseconds.
     */
    private static final double CATCH_UP_MS = 500;

    /** The same for a drained process whose clients must be disconnected now, in milliseconds. */
    private static final double CATCH_UP_WHEN_DUE_MS = 50;

    /** The tasks of the process, as far as a shutdown needs them. */
    interface Tasks {
        /** The number of tasks without an answer. */
        int unanswered();

        /** Answers all of them as abandoned, with no promise about their effect. */
        void abandonAll();
    }

    private final ProcessLifecycle lifecycle;
    private final ClientEndpoint clients;
    private final Tasks tasks;

    /** Whether some new connections still arrive here although a successor serves the clients. */
    private boolean sharesNewConnections;

    /** When the lifecycle was last applied; NaN before the first time. */
    private double appliedAt = Double.NaN;

    /** When the loop was last late. */
    private double lateAt = Double.NEGATIVE_INFINITY;

    ConnectionDraining(ProcessLifecycle lifecycle, ClientEndpoint clients, Tasks tasks) {
        this.lifecycle = lifecycle;
        this.clients = clients;
        this.tasks = tasks;
    }

    /**
     * The successor listens, so the listener closes once no connection has arrived for the quiet
     * period. If the successor does not receive all new connections, that may never happen; the
     * listener then closes during the shutdown period.
     */
    void successorListens(boolean hasAllNewConnections, double quietPeriod) {
        sharesNewConnections = !hasAllNewConnections;
        clients.shutWhenQuiet(quietPeriod);
    }

    /** Applies the present state to the clients' endpoint. */
    void apply(double now) {
        recordLateness(now);
        clients.ready(lifecycle.isReady());
        clients.lastAnswers(lifecycle.closesAfterAnswer(now), lifecycle.isSuperseded());
        clients.refuseTasks(lifecycle.isShutdownDue(now));
        if (lifecycle.maxIdle(now) < Double.POSITIVE_INFINITY) {
            clients.closeIdle(
                    lifecycle.maxIdle(now), maxUnusedIdle(now), lifecycle.isClosingIdle(now));
        }
    }

    private void recordLateness(double now) {
        if (now > appliedAt + APPLY_INTERVAL_MS + LATE_THRESHOLD_MS) {
            lateAt = now;
        }
        appliedAt = now;
    }

    /**
     * The maximum time that a connection without a request stays open. A client that was accepted
     * by the end of the shutdown period is refused before its connection is closed. Before the end,
     * a process that was not scheduled on a processor must not treat connections as idle whose
     * requests it has not read.
     */
    private double maxUnusedIdle(double now) {
        boolean isRefusing = lifecycle.isShutdownDue(now) && !lifecycle.isRefusalOver(now);
        double catchUpPeriod = lifecycle.isDrainDue(now) ? CATCH_UP_WHEN_DUE_MS : CATCH_UP_MS;
        boolean isCatchingUp = !lifecycle.isShutdownDue(now) && now < lateAt + catchUpPeriod;
        return isRefusing || isCatchingUp ? Double.POSITIVE_INFINITY : lifecycle.maxUnusedIdle(now);
    }

    /**
     * Abandons all tasks once the shutdown is due, and closes the listener once no task is
     * unanswered; tells whether no connection and no listener is left. Guards tasks in progress:
     * their callbacks must be accepted until the last task is answered.
     */
    boolean finishIfEmpty(double now) {
        if (tasks.unanswered() > 0 && lifecycle.isShutdownDue(now)) {
            LOG.atWarn().addKeyValue("tasks", tasks.unanswered()).log("leaving.abandoned");
            tasks.abandonAll();
        }
        if (tasks.unanswered() > 0) {
            return false;
        }
        closeListenerIfUnneeded(now);
        int openConnections =
                lifecycle.isSuperseded() ? clients.ofClients() : clients.connections();
        // Guards clients: the kernel accepts more connections until the listener is closed.
        return openConnections == 0 && !clients.listens();
    }

    /**
     * Closes the listener if no new connections need it. The listener of a superseded process is
     * left open until the successor receives all new connections or the shutdown is due.
     */
    private void closeListenerIfUnneeded(double now) {
        if (lifecycle.isRefusalOver(now)
                || !lifecycle.isSuperseded() && clients.connections() == 0) {
            clients.shut();
        } else if (lifecycle.isShutdownDue(now)
                || lifecycle.isClosingIdle(now)
                        && (sharesNewConnections || !lifecycle.isSuperseded())) {
            clients.drainListener();
        }
    }
}
