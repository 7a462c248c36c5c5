package gingerspool.dataplane;

import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.DispatchActions;
import gingerspool.dispatch.Dispatcher;
import gingerspool.dispatch.DispatcherSettings;
import gingerspool.dispatch.Outcome;
import gingerspool.dispatch.Report;
import gingerspool.settings.NodeSettings;
import java.util.Arrays;

/**
 * The Dispatcher of one function, told of instances and slots in its terms. It is replaced by a new
 * one when the routes change, which must be while it holds no task.
 */
final class FunctionDispatcher {
    /** What a request to another zone costs, in worth. */
    private static final double CROSS_ZONE_COST = 0.05;

    private final FunctionQueue.Environment environment;
    private final NodeSettings settings;
    private final SlotInventory inventory;
    private final DispatchActions actions;
    private final long seed;
    private Dispatcher dispatcher;

    /** The seed is that of the Dispatcher's chance. */
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

    boolean isCreated() {
        return dispatcher != null;
    }

    /** Makes a new Dispatcher, which is told of all instances. */
    void renew(RouteProfiles profiles, double startupTime) {
        DispatcherSettings dispatcherSettings = new DispatcherSettings();
        dispatcherSettings.profiles = profiles.toNumberedArray();
        dispatcherSettings.zone = settings.zoneNumber(settings.zone);
        dispatcherSettings.place = settings.zone;
        dispatcherSettings.dispatchers = Math.max(1, environment.schedulerCount());
        dispatcherSettings.kinds = new String[] {"instance"};
        dispatcherSettings.reportNames = new String[] {"free"};
        dispatcherSettings.reportsInAnswers = true;
        dispatcherSettings.mayCancel = true;
        dispatcherSettings.mayAdvise = true;
        dispatcherSettings.maxAdvice = startupTime;
        dispatcherSettings.mostAssignments = AttemptTerms.MAX_ASSIGNMENTS;
        dispatcherSettings.crossFee = CROSS_ZONE_COST;
        dispatcher = new Dispatcher(dispatcherSettings, seed, actions);
        inventory.all().forEach(this::publish);
    }

    /** Tells of an instance: where it is, whether it drains, and the slots that may be used. */
    void publish(InstanceSlot slot) {
        double now = environment.loop().now();
        dispatcher.listBegins(now, false);
        dispatcher.called(slot.worker, slot.instance);
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

    /** Tells how many slots of an instance may be used. */
    void publishSlots(InstanceSlot slot) {
        int slots = slot.isUsable() ? Math.max(0, slot.granted - slot.uncertain) : 0;
        dispatcher.granted(environment.loop().now(), slot.worker, slots);
    }

    /** Tells how many slots are free of an instance of which schedulers hold so many in all. */
    void publishFreeSlots(InstanceSlot slot, int grantedSlots) {
        double[] report = new double[Report.SIZE];
        Arrays.fill(report, Double.NaN);
        // Slots that others hold are taken, ours are free but for those in use.
        int grantedToOthers = Math.max(0, grantedSlots - slot.granted);
        report[Report.FREE_SLOTS] = Math.max(0, slot.capacity - grantedToOthers - slot.inUse);
        dispatcher.probed(environment.loop().now(), slot.worker, report);
    }

    void onArrival(PendingRequest request) {
        dispatcher.arrived(environment.loop().now(), request);
    }

    /** The client of a request that was dispatched has gone, or its time is over. */
    void onDiscarded(PendingRequest request) {
        dispatcher.left(environment.loop().now(), request);
    }

    void onAttemptEnded(Assignment assignment, Outcome outcome, boolean isOver) {
        dispatcher.ended(environment.loop().now(), assignment, outcome, isOver, null);
    }

    /** Wakes the Dispatcher after a span, unless it was replaced. */
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
