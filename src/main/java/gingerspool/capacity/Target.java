package gingerspool.capacity;

import java.util.List;
import java.util.Map;

/**
 * The size that the system is to reach, and what each role would need there if today's mechanisms
 * were kept. Every figure is a measured line carried on, or a product of such and the target's own
 * numbers; which, and what was assumed, stands beside it.
 */
final class Target {
    private static final String CORE = "Core member";
    private static final String LEADER = "Leader";
    private static final String KEEPER = "Keeper of slots";
    private static final String RELAY = "Relay (none today; 57 machines, 228 schedulers each)";
    private static final String DOOR = "Operator's door";
    private static final String PLATFORM = "Platform's client";
    private static final String SCHEDULER = "Scheduler";

    private final Map<String, MessageTable.Row> messages;
    private final Projections out;

    Target(Measurement measured) {
        messages = measured.messages();
        out = new Projections(measured.byKey());
    }

    List<Projection> projections() {
        scheduler();
        member();
        leader();
        allocator();
        relay();
        door();
        platform();
        return out.all();
    }

    private void scheduler() {
        schedulerHeap();
        schedulerBytes();
        schedulerTime();
    }

    private void schedulerHeap() {
        out.line(
                SCHEDULER,
                "heap, whole configuration, a route a function",
                "configuration.heap.scheduler",
                TargetSize.FUNCTIONS,
                1,
                TargetSize.SCHEDULER_HEAP,
                "");
        out.times(
                SCHEDULER,
                "heap, queues of 4,000 functions",
                "scheduler.heap.queue",
                TargetSize.QUEUES,
                TargetSize.SCHEDULER_HEAP,
                "4,000 (assumed)");
    }

    private void schedulerBytes() {
        out.times(
                SCHEDULER,
                "bytes, idle links to 5 members",
                "link.idle.bytes",
                TargetSize.MEMBERS,
                TargetSize.SCHEDULER_BYTES,
                "5 (assumed)");
        out.times(
                SCHEDULER,
                "bytes, idle links to all 57 machines",
                "link.idle.bytes",
                TargetSize.MACHINES,
                TargetSize.SCHEDULER_BYTES,
                "57");
        out.sum(
                SCHEDULER,
                "bytes, idle links to 5 members, headers counted",
                TargetSize.MEMBERS
                        * (out.slope("link.idle.bytes")
                                + TargetSize.HEADERS * out.slope("link.idle.frames")),
                "B/s",
                TargetSize.SCHEDULER_BYTES,
                "extrapolated, the same, and 66 B (assumed) for each of `link.idle.frames`");
        double calls = callsPerScheduler();
        out.times(
                SCHEDULER,
                "bytes, a slot asked for at each call",
                "link.slot.bytes",
                calls,
                TargetSize.SCHEDULER_BYTES,
                "131 calls a second");
        out.sum(
                SCHEDULER,
                "bytes, the same, headers counted",
                calls
                        * (out.slope("link.slot.bytes")
                                + TargetSize.HEADERS * out.slope("link.slot.frames")),
                "B/s",
                TargetSize.SCHEDULER_BYTES,
                "extrapolated, the same, and 66 B (assumed) for each of `link.slot.frames`");
        out.rate(
                SCHEDULER,
                "bytes, whole pushes",
                "push.bytes",
                TargetSize.CHANGES,
                TargetSize.SCHEDULER_BYTES,
                "0.579 changes a second");
    }

    private static double callsPerScheduler() {
        return TargetSize.CALLS / TargetSize.SCHEDULERS;
    }

    private void schedulerTime() {
        out.times(
                SCHEDULER,
                "processor time, idle links to 5 members",
                "link.idle.own",
                TargetSize.MEMBERS,
                TargetSize.SCHEDULER_MICROS,
                "5 (assumed)");
        out.times(
                SCHEDULER,
                "processor time, a slot asked for at each call",
                "link.slot.own",
                callsPerScheduler(),
                TargetSize.SCHEDULER_MICROS,
                "131 calls a second; the queues' own time is not in it");
        out.rate(
                SCHEDULER,
                "processor time, whole pushes put in force",
                "configuration.push.apply",
                TargetSize.CHANGES,
                TargetSize.SCHEDULER_MICROS,
                "0.579 changes a second");
        out.rate(
                SCHEDULER,
                "processor time, its copy digested for reports",
                "configuration.push.digest",
                1 / TargetSize.REPORTS,
                TargetSize.SCHEDULER_MICROS,
                "once in 4.8 s");
    }

    private void member() {
        out.line(
                CORE,
                "heap, the configuration",
                "configuration.heap.member",
                TargetSize.FUNCTIONS,
                1,
                Double.NaN,
                "");
        out.line(
                CORE,
                "a snapshot",
                "configuration.snapshot.bytes",
                TargetSize.FUNCTIONS,
                1,
                Double.NaN,
                "");
        out.line(
                CORE,
                "a snapshot made, while the loop stands still",
                "configuration.snapshot.make",
                TargetSize.FUNCTIONS,
                1,
                TargetSize.INTERVAL * 1e6 / 2,
                "; a lease lasts half an interval");
        out.line(
                CORE,
                "log bytes a day",
                "log.change.bytes",
                TargetSize.FUNCTIONS,
                TargetSize.CHANGES_A_DAY / 64,
                Double.NaN,
                ", times 781 snapshots a day");
        out.rate(
                CORE,
                "processor time, changes",
                "configuration.change",
                TargetSize.CHANGES,
                TargetSize.CORE_MICROS,
                "0.579 a second");
        out.rate(
                CORE,
                "processor time, digests for comparison",
                "configuration.compare",
                1 / TargetSize.REPORTS,
                TargetSize.CORE_MICROS,
                "once in 4.8 s");
        out.line(
                CORE,
                "a new member is brought up",
                "consensus.learner.bytes",
                TargetSize.FUNCTIONS,
                1,
                Double.NaN,
                "");
        out.line(
                CORE,
                "a snapshot restored",
                "configuration.snapshot.restore",
                TargetSize.FUNCTIONS,
                1,
                4e6,
                "; 4 s (assumed, `CatchUpS` of the sites)");
        out.times(
                CORE,
                "processor time, idle links of all schedulers",
                "link.idle.time",
                TargetSize.SCHEDULERS,
                TargetSize.CORE_MICROS,
                "13,000");
        out.sum(
                CORE,
                "connections of schedulers",
                TargetSize.SCHEDULERS,
                "1",
                TargetSize.LINKS_MOST,
                "the target's; a control node accepts 1,024 at most");
    }

    private void leader() {
        leaderLinks();
        leaderChanges();
        leaderTicks();
        leaderRegistrations();
    }

    private void leaderLinks() {
        out.times(
                LEADER,
                "messages, idle links",
                "link.idle.frames",
                TargetSize.SCHEDULERS,
                Double.NaN,
                "13,000");
        out.times(
                LEADER,
                "bytes, idle links",
                "link.idle.bytes",
                TargetSize.SCHEDULERS,
                TargetSize.LINK_BYTES,
                "13,000; a link of 1,000 Mbit/s (assumed)");
    }

    private void leaderChanges() {
        out.line(
                LEADER,
                "bytes of one change pushed whole to all",
                "push.bytes",
                TargetSize.FUNCTIONS,
                TargetSize.SCHEDULERS,
                TargetSize.APPLY_SECONDS * TargetSize.LINK_BYTES,
                ", times 13,000; the link carries 1.38 GB in 11 s");
        out.line(
                LEADER,
                "bytes of one push, in one frame",
                "push.bytes",
                TargetSize.FUNCTIONS,
                1,
                TargetSize.FRAME_MOST,
                "; a frame holds 4 MiB at most");
        out.line(
                LEADER,
                "one change taken",
                "configuration.change",
                TargetSize.FUNCTIONS,
                1,
                1e6 / TargetSize.CHANGES,
                "; the budget is the mean gap between two changes");
        out.line(
                LEADER,
                "one push encoded",
                "configuration.push.encode",
                TargetSize.FUNCTIONS,
                1,
                TargetSize.APPLY_SECONDS * 1e6,
                "");
    }

    private void leaderTicks() {
        out.line(
                LEADER,
                "a tick of the scaler, by functions",
                "scaler.tick.functions",
                TargetSize.FUNCTIONS,
                1,
                TargetSize.TICK_MICROS,
                "; due each 50 ms");
        out.line(
                LEADER,
                "a tick of the scaler, by instances",
                "scaler.tick.instances",
                TargetSize.INSTANCES,
                1,
                TargetSize.TICK_MICROS,
                "; due each 50 ms");
        out.line(
                LEADER,
                "a tick of the keeper, each function with a demand",
                "keeper.tick",
                TargetSize.FUNCTIONS,
                1,
                TargetSize.TICK_MICROS,
                "; due each 50 ms");
    }

    private void leaderRegistrations() {
        out.line(
                LEADER,
                "all schedulers register: processor time of links",
                "link.register.pairs",
                TargetSize.SCHEDULERS * (TargetSize.SCHEDULERS + 1) / 2.0,
                1,
                TargetSize.APPLY_SECONDS * 1e6,
                " pairs");
        out.line(
                LEADER,
                "all schedulers register: `SchedulerCount` messages",
                "link.register.counts",
                TargetSize.SCHEDULERS * (TargetSize.SCHEDULERS + 1) / 2.0,
                1,
                Double.NaN,
                " pairs");
        out.line(
                LEADER,
                "all schedulers register: what each held is dropped",
                "keeper.register",
                TargetSize.INSTANCES,
                TargetSize.SCHEDULERS,
                TargetSize.APPLY_SECONDS * 1e6,
                ", times 13,000");
    }

    private void allocator() {
        out.sum(
                KEEPER,
                "heap",
                TargetSize.SCHEDULERS * out.slope("keeper.heap.scheduler")
                        + TargetSize.FUNCTIONS * out.slope("keeper.heap.function")
                        + TargetSize.INSTANCES * out.slope("keeper.heap.instance")
                        + TargetSize.HELD * out.slope("keeper.heap.held"),
                "B",
                Double.NaN,
                "extrapolated, slopes of `keeper.heap.*` (demands apart); 170,000 slots held (assumed, 0.1 s a call)");
        out.times(
                KEEPER,
                "messages, a slot asked for at each call",
                "link.slot.frames",
                TargetSize.CALLS,
                Double.NaN,
                "1.7 M calls a second");
        out.times(
                KEEPER,
                "bytes, the same",
                "link.slot.bytes",
                TargetSize.CALLS,
                TargetSize.LINK_BYTES,
                "1.7 M calls a second");
        out.times(
                KEEPER,
                "processor time, the same",
                "link.slot.time",
                TargetSize.CALLS,
                TargetSize.CORE_MICROS,
                "1.7 M calls a second");
        out.line(
                KEEPER,
                "one report of holdings",
                "keeper.holdings",
                TargetSize.INSTANCES,
                1,
                TargetSize.REPORTS * 1e6 / TargetSize.SCHEDULERS,
                "; 13,000 are due in 4.8 s");
        out.line(
                KEEPER,
                "a slot of a function with 10,000 instances",
                "keeper.cycle.instances",
                10_000,
                1,
                Double.NaN,
                " (assumed)");
        out.line(
                KEEPER,
                "a slot of a function that all schedulers call",
                "keeper.cycle.schedulers",
                TargetSize.SCHEDULERS,
                1,
                Double.NaN,
                "");
    }

    private void relay() {
        double links = (double) TargetSize.SCHEDULERS / TargetSize.MACHINES;
        out.times(
                RELAY,
                "processor time, idle links",
                "link.idle.time",
                links,
                TargetSize.CORE_MICROS,
                "228");
        out.times(
                RELAY,
                "processor time, a slot asked for at each call",
                "link.slot.time",
                TargetSize.CALLS / TargetSize.MACHINES,
                TargetSize.CORE_MICROS,
                "29,825 calls a second");
        out.line(
                RELAY,
                "bytes of one whole push",
                "push.bytes",
                TargetSize.FUNCTIONS,
                links,
                TargetSize.APPLY_SECONDS * TargetSize.LINK_BYTES,
                ", times 228");
        out.sum(
                RELAY,
                "bytes of one change sent as it was ordered",
                links * messages.get("ChangeCommand").bytes(),
                "B",
                TargetSize.APPLY_SECONDS * TargetSize.LINK_BYTES,
                "228 x `ChangeCommand`, measured");
    }

    private void door() {
        out.sum(
                DOOR,
                "changes a second",
                TargetSize.CHANGES,
                "1/s",
                1e6 / out.at("configuration.change", TargetSize.FUNCTIONS),
                "the target's; the bound is 1 s / `configuration.change` at 510 k");
        out.line(
                DOOR,
                "the first configuration, one order",
                "configuration.snapshot.bytes",
                TargetSize.FUNCTIONS,
                1,
                TargetSize.BODY_MOST,
                "; an order holds 2 MiB at most, and goes to members in one frame");
    }

    private void platform() {
        out.line(
                PLATFORM,
                "the list, all pages",
                "platform.list.bytes",
                TargetSize.INSTANCES,
                1,
                Double.NaN,
                "");
        out.line(
                PLATFORM,
                "the list parsed",
                "platform.list.time",
                TargetSize.INSTANCES,
                1,
                TargetSize.DRAIN_SEEN * 1e6,
                "; a drain is to be seen in 3 s (assumed, `DrainMs`)");
        out.sum(
                PLATFORM,
                "the list read once",
                TargetSize.INSTANCES / TargetSize.PAGE / TargetSize.LIST_CALLS * 1e6,
                "us",
                TargetSize.DRAIN_SEEN * 1e6,
                "assumed: pages of 100, 13 calls a second, as on the sites");
    }
}
