package gingerspool.daemon;

import gingerspool.wire.ClientEndpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Has the clients' endpoint follow the process's lifecycle: what health checks are told, which
 * connections end, and when the listener closes.
 *
 * <p>A listener that another process shares closes only once that one has all new connections and
 * none has come here for a while. Where that does not happen before the time to leave ends, clients
 * are let in and refused until shortly before the process is killed: a refusal is an answer, a
 * reset is a lost request.
 *
 * <p>Thread: the event loop. Times are milliseconds on its clock.
 */
final class ConnectionDraining {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionDraining.class);

    /** How often the present state is applied while time alone may change it. */
    static final double APPLY_INTERVAL_MS = 20;

    /** The loop is late when it comes to that by so much later. */
    private static final double LATE_THRESHOLD_MS = 50;

    /** After it was late, the loop has read what came meanwhile once it was on time for so long. */
    private static final double CATCH_UP_MS = 500;

    /** The same where a drained process is to be rid of its clients by now. */
    private static final double CATCH_UP_WHEN_DUE_MS = 50;

    /** The tasks of the process. */
    interface Tasks {
        /** How many have no answer yet. */
        int unanswered();

        /** Answers all of them without a promise about their effect. */
        void abandonAll();
    }

    private final ProcessLifecycle lifecycle;
    private final ClientEndpoint clients;
    private final Tasks tasks;

    /** Another process has the clients, but the kernel still lets some of them come here. */
    private boolean sharesNewConnections;

    private double appliedAt = Double.NaN;
    private double lateAt = Double.NEGATIVE_INFINITY;

    ConnectionDraining(ProcessLifecycle lifecycle, ClientEndpoint clients, Tasks tasks) {
        this.lifecycle = lifecycle;
        this.clients = clients;
        this.tasks = tasks;
    }

    /**
     * The successor listens: the listener closes once none has come for `quiet`. Where it has not
     * got all new connections, that may never be, and the listener closes in the time to leave.
     */
    void successorListens(boolean hasAllNewConnections, double quietPeriod) {
        sharesNewConnections = !hasAllNewConnections;
        clients.shutWhenQuiet(quietPeriod);
    }

    /** Has the endpoint do what the present state asks for. */
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
     * Who has been let in by the end gets its refusal before it is closed. Before the end, a
     * process that had no processor does not take for idle what it has not read.
     */
    private double maxUnusedIdle(double now) {
        boolean isRefusing = lifecycle.isShutdownDue(now) && !lifecycle.isRefusalOver(now);
        double catchUpPeriod = lifecycle.isDrainDue(now) ? CATCH_UP_WHEN_DUE_MS : CATCH_UP_MS;
        boolean isCatchingUp = !lifecycle.isShutdownDue(now) && now < lateAt + catchUpPeriod;
        return isRefusing || isCatchingUp ? Double.POSITIVE_INFINITY : lifecycle.maxUnusedIdle(now);
    }

    /**
     * Gives up what is out when the time is over, and closes the listener when nothing is out;
     * tells whether the process has nothing left to end. Guards what is in hand: call-backs must
     * get in until the last task has its answer.
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
        // Guards the clients: until the listener has closed, the kernel lets more of them in.
        return openConnections == 0 && !clients.listens();
    }

    /** The listener of a process that was succeeded closes when its successor has the clients. */
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
