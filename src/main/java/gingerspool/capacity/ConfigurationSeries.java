package gingerspool.capacity;

import gingerspool.antientropy.RangeDigests;
import gingerspool.capacity.Series.Medium;
import gingerspool.configuration.Configuration;
import gingerspool.configuration.ConfigurationState;
import gingerspool.configuration.RouteTable;
import java.util.ArrayList;
import java.util.List;

/** What the configuration costs by the number of its functions, at the core and at a scheduler. */
final class ConfigurationSeries {
    private static final int[] SIZES = {500, 1000, 2000, 4000, 8000};
    private static final int ROUTED = 20;
    private final Scale scale;

    ConfigurationSeries(Scale scale) {
        this.scale = scale;
    }

    List<Series> measure() throws Exception {
        List<Series> all = new ArrayList<>();
        addPushes(all);
        addChangesAndSnapshots(all);
        addHeaps(all);
        return all;
    }

    private void addPushes(List<Series> all) throws Exception {
        all.add(
                series(
                        "configuration.push.bytes",
                        "a whole configuration as it is pushed",
                        "B",
                        (n, seed) -> typed(n, seed).toByteArray().length));
        all.add(
                series(
                        "configuration.push.encode",
                        "the leader encodes and digests it for a push",
                        "us",
                        (n, seed) -> encode(typed(n, seed))));
        all.add(
                series(
                        "configuration.push.apply",
                        "a scheduler puts it in force and digests its copy",
                        "us",
                        (n, seed) -> apply(typed(n, seed).toByteArray())));
        all.add(
                series(
                        "configuration.push.digest",
                        "a scheduler digests its copy for a regular report",
                        "us",
                        (n, seed) -> encode(typed(n, seed))));
    }

    private void addChangesAndSnapshots(List<Series> all) throws Exception {
        all.add(
                series(
                        "configuration.change",
                        "a member decides on a change of one service",
                        "us",
                        this::change));
        all.add(
                series(
                        "configuration.compare",
                        "a member digests its copy of the state for comparison",
                        "us",
                        this::compare));
        all.add(
                series(
                        "configuration.snapshot.bytes",
                        "a snapshot of the state",
                        "B",
                        (n, seed) -> new SampleConfiguration(seed).state(n).state().length));
        all.add(
                series(
                        "configuration.snapshot.make",
                        "a member makes a snapshot",
                        "us",
                        this::snapshot));
        all.add(
                series(
                        "configuration.snapshot.restore",
                        "a member restores a snapshot",
                        "us",
                        this::restore));
    }

    private void addHeaps(List<Series> all) throws Exception {
        all.add(
                series(
                        "configuration.heap.member",
                        "a member's heap",
                        "B",
                        (n, seed) -> Meter.heapOf(() -> new SampleConfiguration(seed).state(n))));
        all.add(
                series(
                        "configuration.heap.scheduler",
                        "a scheduler's heap, a route each",
                        "B",
                        (n, seed) -> schedulerHeap(typed(n, seed).toByteArray())));
        all.add(
                Series.measure(
                        "configuration.heap.route",
                        "a scheduler's heap by routes, of " + ROUTED + " functions",
                        "B",
                        "route",
                        Medium.MEMORY,
                        scale,
                        SIZES,
                        this::routeHeap));
        all.add(
                Series.measure(
                        "configuration.snapshot.versions",
                        "a snapshot by versions taken, of 2 functions",
                        "B",
                        "version",
                        Medium.MEMORY,
                        scale,
                        SIZES,
                        this::versions));
    }

    private double routeHeap(int routes, long seed) throws Exception {
        byte[] pushed =
                new SampleConfiguration(seed).state(ROUTED, routes).configuration().toByteArray();
        return schedulerHeap(pushed);
    }

    private double versions(int count, long seed) throws Exception {
        SampleConfiguration sample = new SampleConfiguration(seed);
        ConfigurationState state = sample.state(2);
        for (int i = 0; i < count; i++) {
            change(state, sample, 2);
        }
        return state.state().length;
    }

    private Series series(String key, String what, String unit, Series.Probe probe)
            throws Exception {
        return Series.measure(key, what, unit, "function", Medium.MEMORY, scale, SIZES, probe);
    }

    private static Configuration typed(int functions, long seed) {
        return new SampleConfiguration(seed).typed(functions);
    }

    private static double encode(Configuration typed) throws Exception {
        return Meter.microsOf(() -> RangeDigests.digest(typed.toByteArray()));
    }

    /** What a scheduler does with a push, as its program does it. */
    private static Object[] inForce(byte[] pushed) throws Exception {
        Configuration typed = Configuration.parseFrom(pushed);
        return new Object[] {
            typed, new RouteTable(typed), RangeDigests.digest(typed.toByteArray())
        };
    }

    private static double apply(byte[] pushed) throws Exception {
        return Meter.microsOf(() -> inForce(pushed));
    }

    private static double schedulerHeap(byte[] pushed) throws Exception {
        return Meter.heapOf(() -> inForce(pushed));
    }

    private double change(int functions, long seed) throws Exception {
        SampleConfiguration sample = new SampleConfiguration(seed);
        ConfigurationState state = sample.state(functions);
        return Meter.microsOf(() -> change(state, sample, functions));
    }

    private static void change(
            ConfigurationState state, SampleConfiguration sample, int functions) {
        long version = state.version();
        ConfigurationState.Verdict verdict =
                state.apply(false, version, sample.change(version + 1, functions));
        if (verdict.status() != ConfigurationState.ACCEPTED) {
            throw new IllegalStateException(verdict.text());
        }
    }

    private double compare(int functions, long seed) throws Exception {
        ConfigurationState state = new SampleConfiguration(seed).state(functions);
        return Meter.microsOf(() -> RangeDigests.digests(state.items()));
    }

    private double snapshot(int functions, long seed) throws Exception {
        ConfigurationState state = new SampleConfiguration(seed).state(functions);
        return Meter.microsOf(state::state);
    }

    private double restore(int functions, long seed) throws Exception {
        byte[] snapshot = new SampleConfiguration(seed).state(functions).state();
        ConfigurationState other = new ConfigurationState();
        return Meter.microsOf(() -> other.restore(snapshot));
    }
}
