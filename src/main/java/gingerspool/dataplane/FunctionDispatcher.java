package gingerspool.dataplane;

import gingerspool.configuration.Route;
import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.DispatchActions;
import gingerspool.dispatch.Dispatcher;
import gingerspool.dispatch.DispatcherSettings;
import gingerspool.dispatch.Outcome;
import gingerspool.dispatch.Profile;
import gingerspool.dispatch.Report;
import gingerspool.settings.NodeSettings;
import java.util.Arrays;

/**
 * Wraps the {@link Dispatcher} of one function: creates it, and reports instances, slots and
 * requests to it in its own terms. The Dispatcher is replaced when the routes change, which must
 * happen while it holds no task.
 *
 * <p>Invariant: each request that is passed to the Dispatcher has a profile that the Dispatcher was
 * created with, whatever the routes are by then.
 *
 * <p>Used by {@link FunctionQueue} and its parts, on the event loop.
 */
final class FunctionDispatcher {
    /** The cost of sending a request to another zone, in units of utility. */
    private static final double CROSS_ZONE_COST = 0.05;

    private final FunctionQueue.Environment environment;
    private final NodeSettings settings;
    private final SlotInventory inventory;
    private final DispatchActions actions;
    private final long seed;
    private Dispatcher dispatcher;

    /** The profiles that the Dispatcher was created with. */
    private RouteProfiles profiles = RouteProfiles.NONE;

    /** The seed initializes the Dispatcher's random numbers. */
    FunctionDispatcher(
            FunctionQueue.Environment environment,
            SlotInventory inventory,
            DispatchActions actions,
            long seed) {
        this.environment = environment;
        this.inventory = inventory;
        this.actions = actions;
        this.seed = seed;
        settings = environment.settings();
    }

    /** Whether the Dispatcher was created with profiles that are the same to it as these. */
    boolean hasProfiles(RouteProfiles others) {
        return profiles.hasSameProfilesAs(others);
    }

    /** The Dispatcher's profile for a request on this route. */
    Profile profileOf(Route route, boolean isLate) {
        return profiles.find(route, isLate);
    }

    /**
     * Creates a new Dispatcher for these profiles, of which there must be one at least, and
     * publishes all instances to it. The start-up time of an instance, in milliseconds, is the
     * longest Retry-After that the Dispatcher suggests.
     */
    void renew(RouteProfiles newProfiles, double startupTime) {
        profiles = newProfiles;
        DispatcherSettings dispatcherSettings = new DispatcherSettings();
        dispatcherSettings.profiles = profiles.toArray();
        dispatcherSettings.zone = settings.zoneNumber(settings.zone);
        dispatcherSettings.zoneName = settings.zone;
        dispatcherSettings.dispatchers = Math.max(1, environment.schedulerCount());
        dispatcherSettings.kinds = new String[] {"instance"};
        dispatcherSettings.reportNames = new String[] {"free"};
        dispatcherSettings.reportsInAnswers = true;
        dispatcherSettings.mayCancel = true;
        dispatcherSettings.mayAdviseRetryAfter = true;
        dispatcherSettings.maxRetryAfter = startupTime;
        dispatcherSettings.maxAssignments = AttemptTerms.MAX_ASSIGNMENTS;
        dispatcherSettings.zoneFee = CROSS_ZONE_COST;
        dispatcher = new Dispatcher(dispatcherSettings, seed, actions);
        inventory.all().forEach(this::publish);
    }

    /** Publishes an instance: its zone, its state, its capacity and the usable slots. */
    void publish(InstanceSlot slot) {
        double now = environment.loop().now();
        dispatcher.listBegins(now, false);
        dispatcher.workerNamed(slot.worker, slot.instance);
        dispatcher.listed(
                slot.worker,
                settings.zoneNumber(slot.zone),
                0,
                0,
                slot.isDraining ? Dispatcher.DRAINING : Dispatcher.RUNNING,
                slot.capacity,
                0);
        dispatcher.listEnds(now, false, true);
        publishSlots(slot);
    }

    /** Publishes how many slots of an instance are usable. */
    void publishSlots(InstanceSlot slot) {
        int slots = slot.isUsable() ? Math.max(0, slot.granted - slot.uncertain) : 0;
        dispatcher.granted(environment.loop().now(), slot.worker, slots);
    }

    /**
     * Publishes how many slots of an instance are free. `grantedSlots` is the number that all
     * schedulers hold together.
     */
    void publishFreeSlots(InstanceSlot slot, int grantedSlots) {
        double[] report = new double[Report.SIZE];
        Arrays.fill(report, Double.NaN);
        // Slots granted to other schedulers count as busy, those granted to this one only if in
        // use.
        int grantedToOthers = Math.max(0, grantedSlots - slot.granted);
        report[Report.FREE_SLOTS] = Math.max(0, slot.capacity - grantedToOthers - slot.inUse);
        dispatcher.reportReceived(environment.loop().now(), slot.worker, report);
    }

    void onArrival(PendingRequest request) {
        dispatcher.arrived(environment.loop().now(), request);
    }

    /** The client of a dispatched request has disconnected, or the request has expired. */
    void onDiscarded(PendingRequest request) {
        dispatcher.clientLeft(environment.loop().now(), request);
    }

    void onAttemptEnded(Assignment assignment, Outcome outcome, boolean isOver) {
        dispatcher.ended(environment.loop().now(), assignment, outcome, isOver, null);
    }

    /** Wakes the Dispatcher after `span` ms, unless it has been replaced by then. */
    void wakeAfter(double span) {
        Dispatcher scheduledFor = dispatcher;
        environment
                .loop()
                .schedule(
                        span,
                        () -> {
                            if (scheduledFor == dispatcher) {
                                scheduledFor.wake(environment.loop().now());
                            }
                        });
    }
}
