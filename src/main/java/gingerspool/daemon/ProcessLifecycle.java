package gingerspool.daemon;

/**
 * The scheduler's own life, without I/O: it is told what happens (started, drained, activated,
 * succeeded, alone again, leaving) and says what clients are to see of it. Times are milliseconds
 * on the loop's clock.
 */
final class ProcessLifecycle {
    /** After it is said that nobody new is to come here, clients come for this long. */
    static final double STILL_COMING = 700;

    /**
     * The part of the time to leave in which connections are kept: others may be restarting as
     * well.
     */
    private static final double KEPT = 0.75;

    /** The same where another process has taken over, so that new connections are welcome there. */
    private static final double KEPT_SUCCEEDED = 0.4;

    /** No client holds an idle connection to a drained scheduler after this, in milliseconds. */
    private static final double SENT_AWAY_WITHIN = 4000;

    /** So long before that the last ones are closed, in milliseconds. */
    private static final double SENT_AWAY_SPARE = 100;

    /** The part of that in which connections without a request are kept. */
    private static final double KEPT_DRAINED = 0.75;

    /** A connection that has been idle for less may have its first request under way. */
    private static final double FRESH = 200;

    /** For so long after its time is over a process refuses whoever it has let in. */
    static final double REFUSING = 200;

    private boolean started;
    private double drainedAt = Double.NaN;
    private double succeededAt = Double.NaN;
    private double leavingAt = Double.NaN;
    private double leaveWithin;

    // ---- What happens ----

    void started() {
        started = true;
    }

    /** The scheduler is to be emptied; told again, the first time counts. */
    void drain(double now) {
        drainedAt = isDrained() ? drainedAt : now;
    }

    void activate() {
        drainedAt = Double.NaN;
    }

    /** Another process takes the clients from now on. */
    void succeeded(double now) {
        succeededAt = isSucceeded() ? succeededAt : now;
    }

    /** The other process is gone: the clients are ours again. */
    void aloneAgain() {
        succeededAt = Double.NaN;
    }

    /** The process is to end within this span. */
    void leave(double now, double within) {
        if (!isLeaving()) {
            leavingAt = now;
            leaveWithin = within;
        }
    }

    // ---- What follows ----

    boolean hasStarted() {
        return started;
    }

    boolean isDrained() {
        return !Double.isNaN(drainedAt);
    }

    boolean isSucceeded() {
        return !Double.isNaN(succeededAt);
    }

    boolean isLeaving() {
        return !Double.isNaN(leavingAt);
    }

    /**
     * Whether this process takes clients, as operators ask: a drained one would, if they were sent.
     */
    boolean takesClients() {
        return started && !isSucceeded() && !isLeaving();
    }

    /** Whether the front is to send clients: it asks of the scheduler, whichever process it is. */
    boolean isReady() {
        return !isDrained() && (isSucceeded() || !isLeaving());
    }

    /**
     * Whether a listener is wanted: call-backs need one until the end, unless another process has
     * it.
     */
    boolean listens() {
        return !isSucceeded();
    }

    /** Whether each client's connection is to end with its next answer. */
    boolean lastAnswers(double now) {
        return isDrained() || isSucceeded() || isClosing(now);
    }

    /**
     * Clients' connections that have been idle for longer are to be closed. Guards first requests
     * under way: one that is closed at once may be new, and its client would get no answer.
     */
    double idleMost(double now) {
        if (isOver(now)) {
            return 0;
        }
        boolean isEmptied = isDrained() && now >= drainedAt + STILL_COMING;
        return isClosing(now) || isEmptied ? FRESH : Double.POSITIVE_INFINITY;
    }

    /**
     * The same for connections that have had no request yet: a client's first one is lost if it
     * crosses the close, also where this process had no processor to read it. A process that leaves
     * keeps them as long as it can. One that was drained has to send its clients away, and closes
     * what has waited so long for a first request, but not before most of the time for that is
     * over.
     */
    double freshMost(double now) {
        if (isOver(now) || isDrainDue(now)) {
            return 0;
        }
        boolean mayWait = isLeaving() || now < drainedAt + KEPT_DRAINED * SENT_AWAY_WITHIN;
        return mayWait ? Double.POSITIVE_INFINITY : 2 * STILL_COMING;
    }

    /** Whether a drained process has to be rid of its clients now, however late its loop was. */
    boolean isDrainDue(double now) {
        return isDrained() && now >= drainedAt + SENT_AWAY_WITHIN - SENT_AWAY_SPARE;
    }

    /** Whether it is time to leave for those who have nothing out. */
    boolean isClosing(double now) {
        return isLeaving()
                && now >= leavingAt + leaveWithin * (isSucceeded() ? KEPT_SUCCEEDED : KEPT);
    }

    /** Whether what is still out must be given up: the process is about to be ended. */
    boolean isOver(double now) {
        return isLeaving() && now >= leavingAt + leaveWithin;
    }

    /** Whether nothing can be answered any more: all that is open is to be closed. */
    boolean isPast(double now) {
        return isLeaving() && now >= leavingAt + leaveWithin + REFUSING;
    }

    /** From when on the process may end if nothing is left: before that, clients may still come. */
    double endsFrom() {
        return leavingAt + (isSucceeded() ? 0 : STILL_COMING);
    }

    /**
     * Whether the process may end if nothing is left. Guards the tasks of the process before: one
     * that stands between two others hands on their call-backs, and stays for that as long as it is
     * given.
     */
    boolean mayEnd(double now, boolean between) {
        return isLeaving() && now >= endsFrom() && (!between || isOver(now));
    }

    /** Whether time alone may change what follows. */
    boolean isChanging() {
        return isDrained() || isSucceeded() || isLeaving();
    }
}
