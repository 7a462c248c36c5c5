package gingerspool.controlplane;

import gingerspool.wire.EventLoop;

/**
 * The end of a control process after SIGTERM. It stays a voter until its replacement is agreed on,
 * or none is to be had, or a part of the grace period is over; then operators are taken no more,
 * those that wait are answered, and it ends. No I/O of its own.
 */
final class GracefulShutdown {
    /** The part of the grace period in which a replacement is waited for. */
    private static final double WAIT = 0.6;

    /** The part of the grace period after which it ends, whoever waits for an answer. */
    private static final double END = 0.85;

    /** How often it looks, in parts of the grace period. */
    private static final double LOOK = 0.005;

    /** What it asks of the process, and tells it. */
    interface Process {
        /** Whether nothing is lost by its end, as far as the replica knows. */
        boolean mayStop();

        /** Whether an operator still waits for an answer. */
        boolean isOwingAnswers();

        /** From now on no operator's call is taken. */
        void closeToOperators();

        void end();
    }

    private final EventLoop turns;
    private final double grace;
    private final Process process;
    private double beganAt = Double.NaN;
    private boolean isClosed;

    /** The grace period is in milliseconds. */
    GracefulShutdown(EventLoop turns, double grace, Process process) {
        this.turns = turns;
        this.grace = grace;
        this.process = process;
    }

    boolean hasBegun() {
        return !Double.isNaN(beganAt);
    }

    /** SIGTERM came; another one changes nothing. */
    void begin() {
        if (!hasBegun()) {
            beganAt = turns.now();
            look();
        }
    }

    private void look() {
        double since = turns.now() - beganAt;
        if (!isClosed && (process.mayStop() || since >= WAIT * grace)) {
            isClosed = true;
            process.closeToOperators();
        }
        if (isClosed && (!process.isOwingAnswers() || since >= END * grace)) {
            process.end();
        } else {
            turns.after(LOOK * grace, this::look);
        }
    }
}
