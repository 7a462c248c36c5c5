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
 * One function at one scheduler, on the event loop. A request waits in the backlog until a slot is
 * usable; then it is handed to the Dispatcher, which picks the instance and decides on retries. Its
 * end is an answer, a rejection here, or its client's leaving.
 *
 * <p>This class joins the parts and decides nothing: {@link RequestBacklog} owns the requests,
 * {@link SlotInventory} the slots, {@link FunctionDispatcher} the Dispatcher, {@link
 * DemandReporter} what the leader knows; {@link SlotReturns}, {@link InstanceConnector}, {@link
 * QueueDeadline} and {@link AttemptRunner} act on them.
 */
final class FunctionQueue implements DispatchActions, AttemptRunner.Listener {
    /** How often waiting requests and unused slots are checked, in heartbeat intervals. */
    private static final double CHECK_INTERVAL_HEARTBEATS = 0.02;

    /** Without a leader for so many heartbeat intervals an unassigned slot may be used. */
    private static final double LEADERLESS_HEARTBEATS = 0.5;

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;

    /** What a queue needs of the scheduler round it. */
    interface Environment {
        EventLoop loop();

        ConnectionPool pool();

        NodeSettings settings();

        /** Schedulers that share the retry budget, this one included. */
        int schedulerCount();

        /** Sends the leader a message, or returns false where there is none. */
        boolean sendToLeader(Object message);

        /** How long there has been no leader, in milliseconds. */
        double leaderlessFor();

        /** A number in the pool of connections that no other instance has. */
        int allocatePoolIndex();

        void releasePoolIndex(int poolIndex);

        /** Answers the client for good. */
        void answer(PendingRequest request, int status, List<String> fields, byte[] body);
    }

    private final Environment environment;
    private final EventLoop loop;
    private final double checkInterval;
    private final RequestBacklog backlog = new RequestBacklog();
    private final MeanServiceTime serviceTime = new MeanServiceTime();
    private final SlotInventory inventory;
    private final FunctionDispatcher dispatcher;
    private final AttemptTerms terms;
    private final SlotReturns returns;
    private final DemandReporter demand;
    private final InstanceConnector connector;
    private final QueueDeadline deadline;
    private final AttemptRunner attempts;
    private final UnassignedSlots unassigned;
    private Service service;
    private RouteProfiles profiles = RouteProfiles.NONE;

    /** Whether the profiles have changed since the Dispatcher was made. */
    private boolean haveProfilesChanged;

    private boolean isCheckScheduled;

    FunctionQueue(Environment environment, String name) {
        this.environment = environment;
        loop = environment.loop();
        NodeSettings settings = environment.settings();
        checkInterval = CHECK_INTERVAL_HEARTBEATS * settings.heartbeatInterval;
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
        deadline = new QueueDeadline(inventory, serviceTime, checkInterval);
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

    /** The configuration as it now stands; the routes are those that lead here. */
    void onConfiguration(Service newService, List<Route> routes) {
        service = newService;
        RouteProfiles newProfiles = RouteProfiles.of(routes, loop::has);
        if (!newProfiles.hasSameProfilesAs(profiles)) {
            profiles = newProfiles;
            haveProfilesChanged = true;
        }
        renewDispatcher();
    }

    /** Guards requests in flight: their Dispatcher is replaced only when it holds none. */
    private void renewDispatcher() {
        boolean isNeeded =
                !dispatcher.isCreated() || haveProfilesChanged && backlog.inFlight() == 0;
        if (isNeeded) {
            haveProfilesChanged = false;
            terms.renew(profiles);
            dispatcher.renew(profiles, service.getBoot());
        }
    }

    // ---- Requests ----

    /** A request has arrived. */
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

    /** The client has gone, or its time is over. */
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

    /** What was not sent yet never will be: so it is sure not to have run there. */
    private static void cancelUnsent(PendingRequest request) {
        for (Attempt attempt : List.copyOf(request.attempts)) {
            if (!attempt.hasBegun()) {
                attempt.abort(Outcome.CANCELLED);
            }
        }
    }

    /** Hands the Dispatcher the requests for which a slot is usable. */
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
        request.profile = profiles.find(request.route, isLate);
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
        OptionalDouble retryAfter = deadline.retryAfter(request, now, service.getBoot());
        if (retryAfter.isPresent()) {
            backlog.remove(request);
            backlog.onRequestEnded();
            reject(request, retryAfter.getAsDouble());
        }
    }

    /** Guards against a leader that is gone: without one, one slot is used as if it were ours. */
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

    // ---- Messages of the leader ----

    /** Slots were granted. */
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

    /** So many slots are to be returned as they fall free. */
    void onRecall(int slots) {
        returns.onRecall(slots);
        returns.returnUnused(loop.now());
    }

    /** Nothing new may go to an instance; false where it is none of this function's. */
    boolean withdraw(String instance) {
        InstanceSlot slot = inventory.find(instance);
        if (slot == null) {
            return false;
        }
        slot.isDraining = true;
        environment.pool().keep(slot.poolIndex, false);
        dispatcher.publish(slot);
        returns.returnUnused(loop.now());
        return true;
    }

    /** A new leader registered this scheduler: what it grants is counted anew. */
    void onRegistered() {
        demand.reset();
        returns.reset();
        demand.reportMissing();
        scheduleCheck();
    }

    /** Adds the slots held, by instance, to what other functions have. */
    void addHoldings(Map<String, Integer> holdings) {
        inventory.addHoldings(holdings);
    }

    /** Requests that instances rejected as too many, since the start. */
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
        throw new IllegalStateException("instances aren't asked for reports");
    }

    @Override
    public void watchList() {
        throw new IllegalStateException("the list comes by itself");
    }

    @Override
    public void wakeAfter(double span) {
        dispatcher.wakeAfter(span);
    }

    // ---- Ends of requests ----

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

    /** The Dispatcher has given it up: what may be promised depends on what has run. */
    private void endWithoutAnswer(PendingRequest request, double retryAfter) {
        backlog.onRequestEnded();
        Message failure = request.failure;
        if (!request.mayHaveRun()) {
            reject(request, retryAfter > 0 ? retryAfter : service.getBoot());
        } else if (InstanceProtocol.mayForward(failure, request.id, loop::has)) {
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

    /** It has not run and never will: the client may come back after the pause. */
    private void reject(PendingRequest request, double retryAfter) {
        double seconds = Math.max(1, Math.round(retryAfter)) / 1000.0;
        environment.answer(
                request,
                UNAVAILABLE,
                List.of("Retry-After: " + seconds),
                InstanceProtocol.utf8("no instance in time"));
    }
}
