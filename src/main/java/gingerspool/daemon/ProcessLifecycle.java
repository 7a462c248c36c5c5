package gingerspool.daemon;

/**
 * The lifecycle of a scheduler process as a state machine without I/O. {@link Daemon} reports
 * events (started, drained, activated, superseded, successor gone, shutdown); {@link
 * ConnectionDraining} and {@link Daemon} query what follows for clients and connections.
 *
 * <p>Thread: the event loop. Times are milliseconds on its clock.
 */
final class ProcessLifecycle {
    /**
     * How long clients may keep connecting after they were told to go elsewhere, in milliseconds.
     */
    static final double REDIRECT_DELAY_MS = 700;

    /**
     * The fraction of the shutdown period during which idle connections are kept: other schedulers
     * may be restarting as well.
     */
    private static final double KEEP_FRACTION = 0.75;

    /** The same for a superseded process, whose clients can connect to its successor. */
    private static final double KEEP_FRACTION_SUPERSEDED = 0.4;

    /**
     * A drained scheduler has closed all idle client connections after this time, in milliseconds.
     */
    private static final double DRAIN_PERIOD_MS = 4000;

    /** The last ones are closed this long before that, in milliseconds. */
    private static final double DRAIN_MARGIN_MS = 100;

    /** The fraction of the drain period during which connections without a request are kept. */
    private static final double KEEP_FRACTION_DRAINED = 0.75;

    /** A connection idle for less may have its first request in flight, in milliseconds. */
    private static final double MIN_IDLE_MS = 200;

    /**
     * How long after the end of the shutdown period new clients are still accepted and refused, in
     * milliseconds.
     */
    static final double REFUSAL_PERIOD_MS = 200;

    private boolean started;

    /** When the scheduler was drained; NaN if it is not. */
    private double drainedAt = Double.NaN;

    /** When another process took over the clients; NaN if none has. */
    private double supersededAt = Double.NaN;

    /** When the shutdown started; NaN before it. */
    private double shutdownStartedAt = Double.NaN;

    private double shutdownPeriod;

    // ---- Events ----

    void started() {
        started = true;
    }

    /** The scheduler is drained; the time of the first call counts. */
    void drain(double now) {
        drainedAt = isDrained() ? drainedAt : now;
    }

    void activate() {
        drainedAt = Double.NaN;
    }

    /** Another process serves the clients from now on. */
    void superseded(double now) {
        supersededAt = isSuperseded() ? supersededAt : now;
    }

    /** The process that had taken over is gone: this one serves the clients again. */
    void successorGone() {
        supersededAt = Double.NaN;
    }

    /** The process must finish its tasks within this period; the first call counts. */
    void shutDown(double now, double period) {
        if (!isShuttingDown()) {
            shutdownStartedAt = now;
            shutdownPeriod = period;
        }
    }

    // ---- Resulting state ----

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
     * Whether this process accepts clients, as reported to operators. A drained process does: it
     * would serve clients if any were sent.
     */
    boolean acceptsClients() {
        return started && !isSuperseded() && !isShuttingDown();
    }

    /**
     * The answer to health checks, which are about the scheduler as a whole rather than one of its
     * processes.
     */
    boolean isReady() {
        return !isDrained() && (isSuperseded() || !isShuttingDown());
    }

    /**
     * Whether this process needs a listener: callbacks need one until the end, unless another
     * process listens.
     */
    boolean needsListener() {
        return !isSuperseded();
    }

    /** Whether the next answer closes its client's connection. */
    boolean closesAfterAnswer(double now) {
        return isDrained() || isSuperseded() || isClosingIdle(now);
    }

    /**
     * The maximum time that a client's connection may be idle. Guards first requests in flight: a
     * connection that is closed immediately may be new, and its client would get no answer.
     */
    double maxIdle(double now) {
        if (isShutdownDue(now)) {
            return 0;
        }
        boolean isDrainingIdle = isDrained() && now >= drainedAt + REDIRECT_DELAY_MS;
        return isClosingIdle(now) || isDrainingIdle ? MIN_IDLE_MS : Double.POSITIVE_INFINITY;
    }

    /**
     * The same for connections that have had no request yet. A client's first request is lost if it
     * crosses the close, also where this process was not scheduled to read it. A process that shuts
     * down keeps such connections as long as it can. A drained process must disconnect its clients:
     * after most of the drain period, it closes the connections that have waited this long for a
     * first request.
     */
    double maxUnusedIdle(double now) {
        if (isShutdownDue(now) || isDrainDue(now)) {
            return 0;
        }
        boolean isKept =
                isShuttingDown() || now < drainedAt + KEEP_FRACTION_DRAINED * DRAIN_PERIOD_MS;
        return isKept ? Double.POSITIVE_INFINITY : 2 * REDIRECT_DELAY_MS;
    }

    /** Whether a drained process must disconnect its clients now, however late its loop was. */
    boolean isDrainDue(double now) {
        return isDrained() && now >= drainedAt + DRAIN_PERIOD_MS - DRAIN_MARGIN_MS;
    }

    /** Whether connections without a request in progress are closed because of the shutdown. */
    boolean isClosingIdle(double now) {
        return isShuttingDown()
                && now
                        >= shutdownStartedAt
                                + shutdownPeriod
                                        * (isSuperseded()
                                                ? KEEP_FRACTION_SUPERSEDED
                                                : KEEP_FRACTION);
    }

    /** Whether unanswered tasks must be abandoned because the process is about to be killed. */
    boolean isShutdownDue(double now) {
        return isShuttingDown() && now >= shutdownStartedAt + shutdownPeriod;
    }

    /** Whether no more refusals can be sent, and all that is open must be closed. */
    boolean isRefusalOver(double now) {
        return isShuttingDown() && now >= shutdownStartedAt + shutdownPeriod + REFUSAL_PERIOD_MS;
    }

    /**
     * The earliest time at which the process may exit if nothing is left: clients may arrive
     * before.
     */
    double earliestExit() {
        return shutdownStartedAt + (isSuperseded() ? 0 : REDIRECT_DELAY_MS);
    }

    /**
     * Whether the process may exit if nothing is left. Guards the tasks of the previous process: a
     * process between two others forwards their callbacks, and stays for that until its shutdown is
     * due.
     */
    boolean mayExit(double now, boolean forwardsCallbacks) {
        return isShuttingDown()
                && now >= earliestExit()
                && (!forwardsCallbacks || isShutdownDue(now));
    }

    /** Whether the state changes with time, without further events. */
    boolean changesWithTime() {
        return isDrained() || isSuperseded() || isShuttingDown();
    }
}
