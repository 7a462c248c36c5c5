package gingerspool.controlplane;

import gingerspool.wire.EventLoop;

/**
 * The shutdown sequence of a control process after SIGTERM. Does no I/O itself; runs on the event
 * loop of its {@link ControlNode}.
 *
 * <p>States: waiting until the cluster has committed a replacement for this member, which stays a
 * voter until then; closed to operators once that has happened, no replacement exists, or the first
 * deadline within the grace period has passed; ended once all pending calls are answered or the
 * second deadline has passed.
 */
final class GracefulShutdown {
    /** Longest wait for a replacement, as a fraction of the grace period. */
    private static final double REPLACEMENT_WAIT_FRACTION = 0.6;

    /** When the process ends even with calls pending, as a fraction of the grace period. */
    private static final double PENDING_CALLS_WAIT_FRACTION = 0.85;

    /** Interval between two checks, as a fraction of the grace period. */
    private static final double CHECK_INTERVAL_FRACTION = 0.005;

    /** The process that is shut down. */
    interface Process {
        /**
         * Whether this member may stop without a loss to the cluster, as far as its replica knows.
         */
        boolean mayStop();

        /** Whether an operator's call is still unanswered. */
        boolean hasPendingCalls();

        /** Stops accepting operators' calls. */
        void closeToOperators();

        void end();
    }

    private enum State {
        RUNNING,
        WAITING_FOR_REPLACEMENT,
        CLOSED_TO_OPERATORS,
        ENDED
    }

    private final EventLoop loop;
    private final double gracePeriod;
    private final Process process;
    private State state = State.RUNNING;
    private double startedAt;

    /** The grace period is in milliseconds. */
    GracefulShutdown(EventLoop loop, double gracePeriod, Process process) {
        this.loop = loop;
        this.gracePeriod = gracePeriod;
        this.process = process;
    }

    /** Starts the shutdown; further calls have no effect. */
    void start() {
        if (state == State.RUNNING) {
            state = State.WAITING_FOR_REPLACEMENT;
            startedAt = loop.now();
            check();
        }
    }

    private void check() {
        double elapsed = loop.now() - startedAt;
        if (state == State.WAITING_FOR_REPLACEMENT
                && (process.mayStop() || elapsed >= REPLACEMENT_WAIT_FRACTION * gracePeriod)) {
            state = State.CLOSED_TO_OPERATORS;
            process.closeToOperators();
        }
        if (state == State.CLOSED_TO_OPERATORS
                && (!process.hasPendingCalls()
                        || elapsed >= PENDING_CALLS_WAIT_FRACTION * gracePeriod)) {
            state = State.ENDED;
            process.end();
        } else {
            loop.schedule(CHECK_INTERVAL_FRACTION * gracePeriod, this::check);
        }
    }
}
