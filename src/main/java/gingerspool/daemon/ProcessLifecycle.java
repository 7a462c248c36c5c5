package gingerspool.daemon;

/**
 * The scheduler's own life, without I/O: it is told what happens (started, drained, activated,
 * succeeded, alone again, leaving) and says what clients are to see of it. Times are milliseconds
 * on the loop's clock.
 */
final class ProcessLifecycle {
    /** After it is said that nobody new is to come here, clients come for this long. */
    static final double REDIRECT_DELAY_MS = 700;

    /**
     * The part of the time to leave in which connections are kept: others may be restarting as
     * well.
     */
    private static final double KEEP_FRACTION = 0.75;

    /** The same where another process has taken over, so that new connections are welcome there. */
    private static final double KEEP_FRACTION_SUPERSEDED = 0.4;

    /** No client holds an idle connection to a drained scheduler after this, in milliseconds. */
    private static final double DRAIN_PERIOD_MS = 4000;

    /** So long before that the last ones are closed, in milliseconds. */
    private static final double DRAIN_MARGIN_MS = 100;

    /** The part of that in which connections without a request are kept. */
    private static final double KEEP_FRACTION_DRAINED = 0.75;

    /** A connection that has been idle for less may have its first request under way. */
    private static final double MIN_IDLE_MS = 200;

    /** For so long after its time is over a process refuses whoever it has let in. */
    static final double REFUSAL_PERIOD_MS = 200;

    private boolean started;
    private double drainedAt = Double.NaN;
    private double supersededAt = Double.NaN;
    private double shutdownStartedAt = Double.NaN;
    private double shutdownPeriod;

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
    void superseded(double now) {
        supersededAt = isSuperseded() ? supersededAt : now;
    }

    /** The other process is gone: the clients are ours again. */
    void successorGone() {
        supersededAt = Double.NaN;
    }

    /** The process is to end within this span. */
    void shutDown(double now, double period) {
        if (!isShuttingDown()) {
            shutdownStartedAt = now;
            shutdownPeriod = period;
        }
    }

    // ---- What follows ----

    boolean hasStarted() {
        return started;
    }

    boolean isDrained() {
        return !Double.isNaN(drainedAt);
    }

    boolean isSuperseded() {
        return !Double.isNaN(supersededAt);
    }

    boolean isShuttingDown() {
        return !Double.isNaN(shutdownStartedAt);
    }

    /**
     * Whether this process takes clients, as operators ask: a drained one would, if they were sent.
     */
    boolean acceptsClients() {
        return started && !isSuperseded() && !isShuttingDown();
    }

    /** Whether the front is to send clients: it asks of the scheduler, whichever process it is. */
    boolean isReady() {
        return !isDrained() && (isSuperseded() || !isShuttingDown());
    }

    /**
     * Whether a listener is wanted: call-backs need one until the end, unless another process has
     * it.
     */
    boolean needsListener() {
        return !isSuperseded();
    }

    /** Whether each client's connection is to end with its next answer. */
    boolean closesAfterAnswer(double now) {
        return isDrained() || isSuperseded() || isClosingIdle(now);
    }

    /**
     * Clients' connections that have been idle for longer are to be closed. Guards first requests
     * under way: one that is closed at once may be new, and its client would get no answer.
     */
    double maxIdle(double now) {
        if (isShutdownDue(now)) {
            return 0;
        }
        boolean isDrainingIdle = isDrained() && now >= drainedAt + REDIRECT_DELAY_MS;
        return isClosingIdle(now) || isDrainingIdle ? MIN_IDLE_MS : Double.POSITIVE_INFINITY;
    }

    /**
     * The same for connections that have had no request yet: a client's first one is lost if it
     * crosses the close, also where this process had no processor to read it. A process that leaves
     * keeps them as long as it can. One that was drained has to send its clients away, and closes
     * what has waited so long for a first request, but not before most of the time for that is
     * over.
     */
    double maxUnusedIdle(double now) {
        if (isShutdownDue(now) || isDrainDue(now)) {
            return 0;
        }
        boolean isKept =
                isShuttingDown() || now < drainedAt + KEEP_FRACTION_DRAINED * DRAIN_PERIOD_MS;
        return isKept ? Double.POSITIVE_INFINITY : 2 * REDIRECT_DELAY_MS;
    }

    /** Whether a drained process has to be rid of its clients now, however late its loop was. */
    boolean isDrainDue(double now) {
        return isDrained() && now >= drainedAt + DRAIN_PERIOD_MS - DRAIN_MARGIN_MS;
    }

    /** Whether it is time to leave for those who have nothing out. */
    boolean isClosingIdle(double now) {
        return isShuttingDown()
                && now
                        >= shutdownStartedAt
                                + shutdownPeriod
                                        * (isSuperseded()
                                                ? KEEP_FRACTION_SUPERSEDED
                                                : KEEP_FRACTION);
    }

    /** Whether what is still out must be given up: the process is about to be ended. */
    boolean isShutdownDue(double now) {
        return isShuttingDown() && now >= shutdownStartedAt + shutdownPeriod;
    }

    /** Whether nothing can be answered any more: all that is open is to be closed. */
    boolean isRefusalOver(double now) {
        return isShuttingDown() && now >= shutdownStartedAt + shutdownPeriod + REFUSAL_PERIOD_MS;
    }

    /** From when on the process may end if nothing is left: before that, clients may still come. */
    double earliestExit() {
        return shutdownStartedAt + (isSuperseded() ? 0 : REDIRECT_DELAY_MS);
    }

    /**
     * Whether the process may end if nothing is left. Guards the tasks of the process before: one
     * that stands between two others hands on their call-backs, and stays for that as long as it is
     * given.
     */
    boolean mayExit(double now, boolean forwardsCallbacks) {
        return isShuttingDown()
                && now >= earliestExit()
                && (!forwardsCallbacks || isShutdownDue(now));
    }

    /** Whether time alone may change what follows. */
    boolean changesWithTime() {
        return isDrained() || isSuperseded() || isShuttingDown();
    }
}
