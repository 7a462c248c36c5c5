package gingerspool.controlplane;

import gingerspool.wire.EventLoop;

/**
 * The end of a control process after SIGTERM. No I/O of its own.
 *
 * <p>States: waiting for its replacement to be agreed on, as it is a voter until then; closed to
 * operators once that is so, none is to be had, or a part of the grace period is over; ended once
 * those that wait are answered, or a later part of it is over.
 */
final class GracefulShutdown {
    /** The part of the grace period in which a replacement is waited for. */
    private static final double REPLACEMENT_WAIT_FRACTION = 0.6;

    /** The part of the grace period after which it ends, whoever waits for an answer. */
    private static final double PENDING_CALLS_WAIT_FRACTION = 0.85;

    /** How often it checks, in parts of the grace period. */
    private static final double CHECK_INTERVAL_FRACTION = 0.005;

    /** What it asks of the process, and tells it. */
    interface Process {
        /** Whether nothing is lost by its end, as far as the replica knows. */
        boolean mayStop();

        /** Whether an operator still waits for an answer. */
        boolean hasPendingCalls();

        /** From now on no operator's call is taken. */
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

    /** SIGTERM came; another one changes nothing. */
    void begin() {
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
