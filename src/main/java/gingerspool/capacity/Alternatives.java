package gingerspool.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Ways to carry what does not fit, each priced with measured costs a message and the target's
 * numbers. What is assumed stands beside each figure.
 */
final class Alternatives {
    private static final String SLOTS = "Slots: messages a second, all keepers together";
    private static final String SLOTS_TIME = "Slots: processor time of all keepers together";
    private static final String STRANDED = "Slots: given out and idle";
    private static final String PUSH = "Configuration: bytes a scheduler and second, on average";
    private static final String ROUTES = "Configuration: heap at a scheduler";
    private static final String BEATS = "Liveness: messages a second at the busiest machine";
    private static final String LISTS = "Platform's list: time until a change is seen";

    /** Assumed: of the functions so many are called more than once a minute, by all the calls. */
    private static final double HOT = 51_000;

    /** Assumed: a lease of slots lasts so many seconds. */
    private static final double LEASE = 10;

    /** A lease is asked for and given: half of the four messages of one slot there and back. */
    private static final double RENEWAL = 0.5;

    private static final double CALL = 0.1;
    private static final double SECONDS_A_MINUTE = 60;

    /** Assumed: changes in the worst minute. */
    private static final double WORST_MINUTE = 3000;

    /** Assumed: a compact table's bytes a route: a hash of 8, an index of 4, a name's share. */
    private static final double COMPACT = 48;

    private final Map<String, Series> series;
    private final Map<String, MessageTable.Row> messages;
    private final Map<String, List<Projection>> rows = new LinkedHashMap<>();

    Alternatives(Measurement measured) {
        series = measured.byKey();
        messages = measured.messages();
    }

    Map<String, List<Projection>> rows() {
        slots();
        configuration();
        liveness();
        lists();
        return rows;
    }

    private double slope(String key) {
        return series.get(key).fit().slopeBeyond();
    }

    private void row(
            String group, String way, double value, String unit, double budget, String how) {
        rows.computeIfAbsent(group, k -> new ArrayList<>())
                .add(new Projection(group, way, value, 0, unit, budget, how));
    }

    private void slots() {
        double perMachine = TargetSize.CORE_MICROS * TargetSize.MACHINES;
        double perSlot = slope("link.slot.time");
        double frames = slope("link.slot.frames");
        row(
                SLOTS,
                "1. one keeper, a slot a call",
                TargetSize.CALLS * frames,
                "1/s",
                Double.NaN,
                "1.7 M x `link.slot.frames`");
        row(
                SLOTS_TIME,
                "1. one keeper, a slot a call",
                TargetSize.CALLS * perSlot,
                "us/s",
                TargetSize.CORE_MICROS,
                "1.7 M x `link.slot.time`; one core");
        row(
                SLOTS_TIME,
                "2. keepers by function on 57 machines, a slot a call",
                TargetSize.CALLS * perSlot,
                "us/s",
                perMachine,
                "the same; 57 cores");
        double callsALease = TargetSize.CALLS / HOT * LEASE;
        double spread =
                TargetSize.SCHEDULERS * (1 - Math.exp(-callsALease / TargetSize.SCHEDULERS));
        double pairs = HOT * spread;
        row(
                SLOTS,
                "3. leases of 10 s, calls spread over all schedulers",
                pairs / LEASE * frames * RENEWAL,
                "1/s",
                Double.NaN,
                "51,000 functions (assumed) seen by "
                        + Math.round(spread)
                        + " schedulers a lease, renewed once each");
        row(
                SLOTS_TIME,
                "3. leases of 10 s, calls spread over all schedulers",
                pairs / LEASE * perSlot * RENEWAL,
                "us/s",
                perMachine,
                "the same x half of `link.slot.time`");
        row(
                STRANDED,
                "3. leases of 10 s, calls spread over all schedulers",
                pairs - TargetSize.CALLS * CALL,
                "1",
                TargetSize.INSTANCES,
                "one slot a pair at least, less 170,000 in use; budget: one slot an instance");
        double homes = HOT * 2;
        row(
                SLOTS,
                "4. functions homed at two schedulers, leases of 10 s",
                homes / LEASE * frames * RENEWAL,
                "1/s",
                Double.NaN,
                "2 homes x 51,000 (assumed), one renewal each");
        row(
                SLOTS_TIME,
                "4. functions homed at two schedulers, leases of 10 s",
                homes / LEASE * perSlot * RENEWAL,
                "us/s",
                perMachine,
                "the same x half of `link.slot.time`");
        double load = TargetSize.CALLS * CALL / homes;
        row(
                STRANDED,
                "4. functions homed at two schedulers, leases of 10 s",
                homes * 2 * Math.sqrt(load),
                "1",
                TargetSize.INSTANCES,
                "two standard deviations of "
                        + Quantity.text(load, "")
                        + " slots in use a home, Poisson (assumed)");
    }

    private void configuration() {
        double delta = messages.get("ChangeCommand").bytes();
        double whole = series.get("push.bytes").fit().at(TargetSize.FUNCTIONS);
        row(
                PUSH,
                "1. whole pushes",
                TargetSize.CHANGES * whole,
                "B/s",
                TargetSize.SCHEDULER_BYTES,
                "0.579 a second x `push.bytes` at 510 k");
        row(
                PUSH,
                "2. numbered deltas to all",
                TargetSize.CHANGES * delta,
                "B/s",
                TargetSize.SCHEDULER_BYTES,
                "0.579 a second x `ChangeCommand`, measured");
        row(
                PUSH,
                "2. the same, in the worst minute",
                WORST_MINUTE / SECONDS_A_MINUTE * delta,
                "B/s",
                TargetSize.SCHEDULER_BYTES,
                "3,000 changes in a minute (assumed)");
        row(
                PUSH,
                "3. deltas to homes and their zone's tables only",
                TargetSize.CHANGES * delta * 2 / TargetSize.SCHEDULERS,
                "B/s",
                TargetSize.SCHEDULER_BYTES,
                "two homes of 13,000 (way 4 of slots)");
        row(
                ROUTES,
                "1. the configuration as today",
                series.get("configuration.heap.scheduler").fit().at(TargetSize.FUNCTIONS),
                "B",
                TargetSize.SCHEDULER_HEAP,
                "`configuration.heap.scheduler` at 510 k");
        row(
                ROUTES,
                "2. a compact table of all routes, details on demand",
                COMPACT * TargetSize.FUNCTIONS,
                "B",
                TargetSize.SCHEDULER_HEAP,
                "48 B a route (assumed, to be measured)");
        double known = 2.0 * TargetSize.FUNCTIONS / TargetSize.SCHEDULERS + TargetSize.QUEUES;
        row(
                ROUTES,
                "3. only the functions homed here and 4,000 called lately",
                known * slope("configuration.heap.scheduler"),
                "B",
                TargetSize.SCHEDULER_HEAP,
                "4,078 functions x slope of `configuration.heap.scheduler`");
    }

    private void liveness() {
        double frames = slope("link.idle.frames");
        double links = (double) TargetSize.SCHEDULERS / TargetSize.MACHINES;
        row(
                BEATS,
                "1. links of all to each member",
                TargetSize.SCHEDULERS * frames,
                "1/s",
                Double.NaN,
                "13,000 x `link.idle.frames`");
        row(
                BEATS,
                "2. links to 2 of 57 machines, by a ring",
                2 * links * frames,
                "1/s",
                Double.NaN,
                "2 x 228 x `link.idle.frames`");
        row(
                BEATS,
                "3. a tree by zone: a relay tells the leader sums",
                links * frames + TargetSize.MACHINES * frames,
                "1/s",
                Double.NaN,
                "228 and 57 x `link.idle.frames`");
    }

    private void lists() {
        double once = TargetSize.INSTANCES / TargetSize.PAGE / TargetSize.LIST_CALLS * 1e6;
        row(
                LISTS,
                "1. one reader, all pages",
                once,
                "us",
                TargetSize.DRAIN_SEEN * 1e6,
                "pages of 100, 13 calls a second (assumed, as on the sites)");
        row(
                LISTS,
                "2. a reader a zone, the rate shared",
                once,
                "us",
                TargetSize.DRAIN_SEEN * 1e6,
                "the rate is of all schedulers together: nothing is won");
        row(
                LISTS,
                "3. pages of 10,000",
                once / 100,
                "us",
                TargetSize.DRAIN_SEEN * 1e6,
                "wants another interface (assumed)");
        row(
                LISTS,
                "4. a list by change (`since`), 40 watches",
                1e6,
                "us",
                TargetSize.DRAIN_SEEN * 1e6,
                "wants another interface; the list's own lag, 1 s (assumed)");
    }
}
