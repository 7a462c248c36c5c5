package gingerspool.capacity;

import gingerspool.capacity.LinearFit.Point;
import gingerspool.capacity.LoopbackCore.Watched;
import gingerspool.capacity.Series.Medium;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Links between schedulers and a control node, over loopback: idle ones by their number, slots by
 * calls, pushes by functions.
 */
final class LinkSeries {
    private static final int[] SCHEDULERS = {50, 100, 200, 400, 800};
    private static final int[] CALLS = {1, 2, 4, 8, 16};
    private static final int[] FUNCTIONS = {250, 500, 1000, 2000, 4000};
    private static final int FEW_FUNCTIONS = 50;
    private static final int SCHEDULERS_CALLING = 100;
    private static final int SCHEDULERS_PUSHED = 50;
    private static final int CHANGES = 3;
    private final Scale scale;
    private final List<Series> all = new ArrayList<>();

    /** Frames of each type a scheduler and second, at the largest number of idle schedulers. */
    private final Map<String, CountingRelay.Count> idleTypes = new TreeMap<>();

    private double idleSeconds;

    LinkSeries(Scale scale) {
        this.scale = scale;
    }

    List<Series> measure() throws Exception {
        idle();
        calls();
        pushes();
        return all;
    }

    /** Bytes and frames by type, a scheduler and second, as the last idle measurement counted. */
    Map<String, double[]> idleTypes() {
        Map<String, double[]> each = new TreeMap<>();
        int schedulers = scale.sizes(SCHEDULERS)[SCHEDULERS.length - 1];
        idleTypes.forEach(
                (type, c) ->
                        each.put(
                                type,
                                new double[] {
                                    c.frames() / idleSeconds / schedulers,
                                    c.bytes() / idleSeconds / schedulers
                                }));
        return each;
    }

    private void idle() throws Exception {
        Points up = new Points();
        Points frames = new Points();
        Points time = new Points();
        Points register = new Points();
        Points byPairs = new Points();
        Points counts = new Points();
        Points own = new Points();
        for (int round = 0; round < scale.rounds(); round++) {
            for (int n : scale.sizes(SCHEDULERS)) {
                try (LoopbackCore core =
                        new LoopbackCore(FEW_FUNCTIONS, scale.interval(), scale.seed() + round)) {
                    Watched r = core.schedulers(n);
                    register.add(n, r.micros());
                    double pairs = n * (n + 1) / 2.0;
                    byPairs.add(pairs, r.micros());
                    counts.add(pairs, r.count(LoopbackCore.COUNT).frames());
                    Watched w = core.watch(scale.intervals(), 0);
                    up.add(n, w.bytes() / w.seconds());
                    frames.add(n, w.frames() / w.seconds());
                    time.add(n, w.micros() / w.seconds());
                    own.add(n, w.schedulerMicros() / w.seconds());
                    idleTypes.clear();
                    idleTypes.putAll(w.counts());
                    idleSeconds = w.seconds();
                }
            }
        }
        String per = "scheduler";
        add("link.idle.bytes", "bytes of idle links to one control node", "B/s", per, up);
        add("link.idle.frames", "messages of idle links to one control node", "1/s", per, frames);
        add("link.idle.time", "leader's processor time for idle links", "us/s", per, time);
        add("link.idle.own", "schedulers' processor time for idle links", "us/s", per, own);
        add(
                "link.register.time",
                "leader's processor time until all have registered",
                "us",
                per,
                register);
        add("link.register.pairs", "the same, by n (n + 1) / 2", "us", "pair", byPairs);
        add(
                "link.register.counts",
                "`SchedulerCount` messages until n have registered, by n (n + 1) / 2",
                "1",
                "pair",
                counts);
    }

    private void calls() throws Exception {
        Points bytes = new Points();
        Points frames = new Points();
        Points time = new Points();
        Points own = new Points();
        int n = scale.sizes(SCHEDULERS_CALLING)[0];
        for (int round = 0; round < scale.rounds(); round++) {
            try (LoopbackCore core = new LoopbackCore(n, scale.interval(), scale.seed() + round)) {
                core.schedulers(n);
                for (int rate : CALLS) {
                    Watched w = core.watch(scale.intervals(), rate);
                    double given = w.count("down SlotGrant").frames() / w.seconds();
                    bytes.add(given, w.bytes() / w.seconds());
                    frames.add(given, w.frames() / w.seconds());
                    time.add(given, w.micros() / w.seconds());
                    own.add(given, w.schedulerMicros() / w.seconds());
                }
            }
        }
        String per = "slot given a second";
        add(
                "link.slot.bytes",
                "bytes of " + n + " links by slots given and returned",
                "B/s",
                per,
                bytes);
        add("link.slot.frames", "messages of " + n + " links by slots given", "1/s", per, frames);
        add("link.slot.time", "leader's processor time by slots given", "us/s", per, time);
        add(
                "link.slot.own",
                "schedulers' processor time by slots given, queues apart",
                "us/s",
                per,
                own);
    }

    private void pushes() throws Exception {
        Points bytes = new Points();
        Points time = new Points();
        Points delay = new Points();
        int n = scale.sizes(SCHEDULERS_PUSHED)[0];
        for (int round = 0; round < scale.rounds(); round++) {
            for (int functions : scale.sizes(FUNCTIONS)) {
                try (LoopbackCore core =
                        new LoopbackCore(functions, scale.interval(), scale.seed() + round)) {
                    core.schedulers(n);
                    for (int i = 0; i < CHANGES; i++) {
                        Watched w = core.push();
                        bytes.add(
                                functions, (double) w.count("down ConfigurationPush").bytes() / n);
                        time.add(functions, w.micros());
                        delay.add(functions, w.seconds() * 1000);
                    }
                }
            }
        }
        add("push.bytes", "bytes to push one change to one scheduler", "B", "function", bytes);
        add(
                "push.time",
                "leader's processor time to take one change and push it to " + n + " schedulers",
                "us",
                "function",
                time);
        add(
                "push.delay",
                "time from the order until all " + n + " schedulers have it",
                "ms",
                "function",
                delay);
    }

    private void add(String key, String what, String unit, String per, Points points) {
        all.add(new Series(key, what, unit, per, Medium.LOOPBACK, LinearFit.of(points.list)));
    }

    private static final class Points {
        final List<Point> list = new ArrayList<>();

        void add(double size, double value) {
            list.add(new Point(size, value));
        }
    }
}
