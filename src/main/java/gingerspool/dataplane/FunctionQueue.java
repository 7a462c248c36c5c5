package gingerspool.dataplane;

import gingerspool.codec.Messages;
import gingerspool.codec.Messages.InstanceCondition;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.DispatchActions;
import gingerspool.dispatch.Outcome;
import gingerspool.dispatch.Task;
import gingerspool.settings.NodeSettings;
import gingerspool.store.ConnectionPool;
import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Message;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The queue of one function at one scheduler. A request waits in the backlog until a slot is
 * usable. It is then passed to the Dispatcher, which selects the instance and decides on retries. A
 * request ends with a response, with a rejection by this queue, or when its client disconnects.
 *
 * <p>This class connects the parts below and contains no policy of its own: {@link RequestBacklog}
 * owns the requests, {@link SlotInventory} the slots, {@link FunctionDispatcher} the Dispatcher,
 * and {@link DemandReporter} the reports to the leader; {@link SlotReturns}, {@link
 * InstanceConnector}, {@link QueueDeadline} and {@link AttemptRunner} act on them.
 *
 * <p>{@link RequestRouter} passes in requests and configurations, {@link SchedulerNode} the
 * leader's messages. All calls are made on the scheduler's event loop; times are in milliseconds.
 */
final class FunctionQueue implements DispatchActions, AttemptRunner.Listener {
    /** How often waiting requests and unused slots are checked, in heartbeat intervals. */
    private static final double CHECK_HEARTBEATS = 0.02;

    /**
     * How long there must be no leader before an unassigned slot may be used, in heartbeat
     * intervals.
     */
    private static final double LEADERLESS_HEARTBEATS = 0.5;

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;

    /** The services of the scheduler that a queue uses. */
    interface Environment {
        EventLoop loop();

        ConnectionPool pool();

        NodeSettings settings();

        /** The number of schedulers that share the platform's limits, including this one. */
        int schedulerCount();

        /** Sends a message to the leader; returns false if there is no leader. */
        boolean sendToLeader(Object message);

        /** How long there has been no leader, in milliseconds; 0 if there is one. */
        double leaderlessFor();

        /** Allocates an index in the connection pool that no other instance uses. */
        int allocatePoolIndex();

        /** Closes the connections of this index and makes it available to another instance. */
        void releasePoolIndex(int poolIndex);

        /** Sends the client the only response to its request. */
        void answer(PendingRequest request, int status, List<String> fields, byte[] body);
    }

    private final Environment environment;
    private final EventLoop loop;

    /** In milliseconds. */
    private final double checkInterval;

    private final RequestBacklog backlog = new RequestBacklog();
    private final MeanServiceTime serviceTime = new MeanServiceTime();
    private final SlotInventory inventory;
    private final FunctionDispatcher dispatcher;
    private final AttemptTerms terms;
    private final SlotReturns returns;
    private final DemandReporter demand;
    private final InstanceConnector connector;
    private final QueueDeadline queueDeadline;
    private final AttemptRunner attempts;
    private final UnassignedSlots unassigned;
    private Service service;

    /** The profiles of the newest routes; the Dispatcher may still use those of earlier ones. */
    private RouteProfiles newestProfiles = RouteProfiles.NONE;

    /** Whether the Dispatcher is to be created, or replaced, for the newest profiles. */
    private boolean isRenewalDue;

    private boolean isCheckScheduled;

    FunctionQueue(Environment environment, String name) {
        this.environment = environment;
        loop = environment.loop();
        NodeSettings settings = environment.settings();
        checkInterval = CHECK_HEARTBEATS * settings.heartbeatInterval;
        inventory = new SlotInventory(environment);
        long seed = (settings.name + " " + name).hashCode();
        dispatcher = new FunctionDispatcher(environment, inventory, this, seed);
        unassigned =
                new UnassignedSlots(settings.rejectionAllowance, (settings.name + name).hashCode());
        terms = new AttemptTerms(environment);
        returns = new SlotReturns(environment, inventory, backlog, dispatcher);
        demand = new DemandReporter(environment, name, backlog, inventory, serviceTime);
        connector =
                new InstanceConnector(
                        environment,
                        dispatcher,
                        returns,
                        () -> service.getBoot(),
                        this::dispatchWaiting);
        queueDeadline = new QueueDeadline(inventory, serviceTime, checkInterval);
        attempts =
                new AttemptRunner(
                        environment,
                        inventory,
                        backlog,
                        dispatcher,
                        returns,
                        terms,
                        serviceTime,
                        this);
    }

    // ---- Configuration ----

    /**
     * Stores a new configuration; the routes are those that lead to this function, possibly none.
     * It takes effect on the Dispatcher as soon as there are routes and no request is in flight;
     * until then the Dispatcher serves with the routes that it was created for.
     */
    void onConfiguration(Service newService, List<Route> routes) {
        service = newService;
        newestProfiles = RouteProfiles.of(routes, loop::isEnabled);
        // Without routes no request can arrive, so the Dispatcher stays as it is.
        isRenewalDue = !newestProfiles.isEmpty() && !dispatcher.hasProfiles(newestProfiles);
        if (backlog.inFlight() == 0) {
            renewDispatcher();
        }
    }

    /**
     * Creates the Dispatcher for the newest routes, or replaces it after a change. Must not be
     * called while requests are in flight.
     */
    private void renewDispatcher() {
        if (isRenewalDue) {
            isRenewalDue = false;
            terms.renew(newestProfiles);
            dispatcher.renew(newestProfiles, service.getBoot());
        }
    }

    // ---- Requests ----

    /** Adds a request that has arrived and dispatches it if a slot is usable. */
    void enqueue(PendingRequest request) {
        double now = loop.now();
        if (backlog.inFlight() == 0) {
            renewDispatcher();
        }
        returns.onArrival(now);
        demand.onArrival();
        unassigned.onArrival(now);
        backlog.add(request);
        dispatchWaiting();
    }

    /** Drops a request whose client has disconnected or whose time has expired. */
    void discard(PendingRequest request) {
        if (request.isDispatched) {
            dispatcher.onDiscarded(request);
            cancelUnsent(request);
        } else {
            backlog.remove(request);
        }
        backlog.onRequestEnded();
        dispatchWaiting();
    }

    /**
     * Cancels the attempts of which nothing has been sent yet, so that they are known not to have
     * run.
     */
    private static void cancelUnsent(PendingRequest request) {
        for (Attempt attempt : List.copyOf(request.attempts)) {
            if (!attempt.hasBegun()) {
                attempt.abort(Outcome.CANCELLED);
            }
        }
    }

    /** Passes waiting requests to the Dispatcher while there are usable slots for them. */
    private void dispatchWaiting() {
        while (!backlog.isEmpty() && inventory.usableSlots() > backlog.waitingAtDispatcher()) {
            dispatch(backlog.poll());
        }
        demand.reportMissing();
        scheduleCheck();
    }

    private void dispatch(PendingRequest request) {
        boolean isLate = loop.now() + serviceTime.mean() > request.dueAt;
        request.isDispatched = true;
        request.profile = dispatcher.profileOf(request.route, isLate);
        request.terms = terms.of(request);
        dispatcher.onArrival(request);
    }

    // ---- Regular checks ----

    private void scheduleCheck() {
        if (!isCheckScheduled) {
            isCheckScheduled = true;
            loop.schedule(checkInterval, this::check);
        }
    }

    private void check() {
        isCheckScheduled = false;
        double now = loop.now();
        backlog.waiting().forEach(request -> rejectIfTooLate(request, now));
        useUnassigned(now);
        returns.returnUnused(now);
        demand.reportChanges();
        if (backlog.inFlight() > 0 || demand.hasReportedRequests() || inventory.holdsSlots()) {
            scheduleCheck();
        }
    }

    private void rejectIfTooLate(PendingRequest request, double now) {
        OptionalDouble retryAfter = queueDeadline.retryAfter(request, now, service.getBoot());
        if (retryAfter.isPresent()) {
            backlog.remove(request);
            backlog.onRequestEnded();
            reject(request, retryAfter.getAsDouble());
        }
    }

    /**
     * Guards against the loss of the leader: without one, a slot of a known instance is used as if
     * it had been granted.
     */
    private void useUnassigned(double now) {
        double leaderlessFor = environment.leaderlessFor();
        double leaderlessThreshold =
                LEADERLESS_HEARTBEATS * environment.settings().heartbeatInterval;
        if (leaderlessFor == 0) {
            unassigned.onLeader();
        }
        if (!backlog.isEmpty()
                && leaderlessFor >= leaderlessThreshold
                && unassigned.allows(now, environment.schedulerCount())
                && !inventory.holdsUsableSlots()) {
            inventory.all().stream()
                    .filter(slot -> slot.isUsable() && slot.uncertain == 0)
                    .findFirst()
                    .ifPresent(slot -> useUnassigned(slot, now));
        }
    }

    private void useUnassigned(InstanceSlot slot, double now) {
        slot.granted = 1;
        slot.isUnassigned = true;
        slot.idleSince = now;
        dispatcher.publishSlots(slot);
        dispatchWaiting();
    }

    // ---- Messages from the leader ----

    /** The leader has granted slots of an instance. */
    void onGrant(Messages.SlotGrant grant) {
        InstanceSlot slot = inventory.find(grant.instance());
        if (slot == null) {
            try {
                slot = inventory.add(grant);
            } catch (BadMessage e) {
                environment.sendToLeader(
                        new Messages.SlotReturn(
                                grant.instance(), grant.slots(), InstanceCondition.UNREACHABLE));
                return;
            }
            dispatcher.publish(slot);
        }
        slot.granted += grant.slots();
        slot.isUnassigned = false;
        slot.idleSince = loop.now();
        if (grant.startsIn() > 0) {
            connector.awaitStart(slot, grant.startsIn());
        } else {
            demand.onGrant(grant.slots());
            connector.markUp(slot);
        }
        dispatcher.publishSlots(slot);
        if (slot.isUp) {
            dispatcher.publishFreeSlots(slot, grant.grantedSlots());
        }
        dispatchWaiting();
    }

    /** The leader asks for this many slots back, to be returned as they become free. */
    void onRecall(int slots) {
        returns.onRecall(slots);
        returns.returnUnused(loop.now());
    }

    /**
     * Stops sending requests to an instance. Returns false if the function doesn't know the
     * instance.
     */
    boolean withdraw(String instance) {
        InstanceSlot slot = inventory.find(instance);
        if (slot == null) {
            return false;
        }
        slot.isDraining = true;
        environment.pool().setKeepIdle(slot.poolIndex, false);
        dispatcher.publish(slot);
        returns.returnUnused(loop.now());
        return true;
    }

    /** A new leader has registered this scheduler: demand and recalls are counted from zero. */
    void onRegistered() {
        demand.reset();
        returns.reset();
        demand.reportMissing();
        scheduleCheck();
    }

    /** Adds the slots that this function holds, by instance. */
    void addHoldings(Map<String, Integer> holdings) {
        inventory.addHoldings(holdings);
    }

    /** Requests that instances have rejected because they were at capacity, since the start. */
    int rejections() {
        return attempts.rejections();
    }

    // ---- Actions of the Dispatcher ----

    @Override
    public void send(Assignment assignment, double timeout) {
        attempts.send(assignment);
    }

    @Override
    public void cancel(Assignment assignment) {
        attempts.cancel(assignment);
    }

    @Override
    public void bounce(Task task, double retryAfter) {
        endWithoutAnswer((PendingRequest) task, retryAfter);
    }

    @Override
    public void abandon(Task task) {
        endWithoutAnswer((PendingRequest) task, 0);
    }

    @Override
    public void probe(int worker) {
        throw new IllegalStateException("instances can't be probed for load reports");
    }

    @Override
    public void watchList() {
        throw new IllegalStateException(
                "the list of instances is pushed by the leader and can't be requested");
    }

    @Override
    public void wakeAfter(double span) {
        dispatcher.wakeAfter(span);
    }

    // ---- Completion of requests ----

    @Override
    public void onAnswer(PendingRequest request, Message answer) {
        backlog.onRequestEnded();
        environment.answer(
                request, answer.status(), InstanceProtocol.forwardedFields(answer), answer.body());
    }

    @Override
    public void onUnassignedRejected() {
        unassigned.onRejected(loop.now(), environment.schedulerCount());
    }

    @Override
    public void onSlotsChanged() {
        dispatchWaiting();
    }

    /**
     * Ends a request that the Dispatcher has given up. The client is told that the request did not
     * run only if no attempt can have run; otherwise it gets the failure of an instance, or 502.
     */
    private void endWithoutAnswer(PendingRequest request, double retryAfter) {
        backlog.onRequestEnded();
        Message failure = request.failure;
        if (!request.mayHaveRun()) {
            reject(request, retryAfter > 0 ? retryAfter : service.getBoot());
        } else if (InstanceProtocol.mayForward(failure, request.id, loop::isEnabled)) {
            environment.answer(
                    request,
                    failure.status(),
                    InstanceProtocol.forwardedFields(failure),
                    failure.body());
        } else {
            byte[] message = InstanceProtocol.utf8("no whole answer came");
            environment.answer(request, BAD_GATEWAY, List.of(), message);
        }
    }

    /**
     * Rejects a request that has not run and never will; the client may retry after `retryAfter`
     * ms.
     */
    private void reject(PendingRequest request, double retryAfter) {
        double seconds = Math.max(1, Math.round(retryAfter)) / 1000.0;
        environment.answer(
                request,
                UNAVAILABLE,
                List.of("Retry-After: " + seconds),
                InstanceProtocol.utf8("no instance in time"));
    }
}
