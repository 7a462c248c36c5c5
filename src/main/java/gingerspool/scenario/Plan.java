package gingerspool.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * All that chance decides in a scenario, drawn beforehand: requests with their sizes, workers'
 * speeds, whom faults befall. The same scenario and seed give the same plan, to the byte in text().
 */
public final class Plan {
    private static final String SUSPEND = "suspend";

    /** One request that a client will make; times are milliseconds from the begin. */
    public record Request(
            int number,
            double due,
            String profile,
            String tenant,
            double work,
            double hint,
            boolean leaves,
            double leavesAfter) {}

    /** A fault and the workers that it befalls, by number. */
    public record Blow(Scenario.Fault fault, int[] workers) {}

    public final Scenario scenario;
    public final long seed;
    public final double[] speeds;
    public final String[] zones;
    public final List<Request> requests = new ArrayList<>();
    public final List<Blow> blows = new ArrayList<>();

    private Plan(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.seed = seed;
        speeds = new double[scenario.fleet.workers];
        zones = new String[scenario.fleet.workers];
    }

    /** Draws a plan; a trace is looked for beside the folder that is given. */
    public static Plan make(Scenario s, long seed, Path folder) throws IOException {
        Plan p = new Plan(s, seed);
        // Each part has a generator of its own, so that a change of one leaves the others as they
        // were.
        SplittableRandom all = new SplittableRandom(seed);
        SplittableRandom ofFleet = all.split();
        SplittableRandom ofFaults = all.split();
        SplittableRandom ofTimes = all.split();
        SplittableRandom ofSizes = all.split();
        for (int w = 0; w < p.speeds.length; w++) {
            p.speeds[w] = s.fleet.speed * Math.exp(s.fleet.speedSpread * normal(ofFleet));
            p.zones[w] = s.fleet.zones.get(w % s.fleet.zones.size());
        }
        for (Scenario.Fault f : s.faults) {
            p.blows.add(new Blow(f, p.befallen(f, ofFaults)));
        }
        if (s.load.arrivals == Scenario.Arrivals.TRACE) {
            p.follow(folder.resolve(s.load.trace), ofSizes);
        } else {
            p.draw(ofTimes, ofSizes);
        }
        return p;
    }

    private int[] befallen(Scenario.Fault f, SplittableRandom r) {
        int n = scenario.fleet.workers;
        List<Integer> all = new ArrayList<>();
        for (int w = 0; w < n; w++) {
            if ((f.zone == null || zones[w].equals(f.zone))
                    && (f.worker == null || f.worker.equals(name(w)))) {
                all.add(w);
            }
        }
        boolean some = f.workers > 0;
        int wanted =
                some
                        ? f.workers
                        : Double.isNaN(f.share)
                                        || f.what.startsWith("call-back")
                                        || f.what.equals("reset")
                                        || f.what.equals("answer-cut")
                                ? all.size()
                                : (int) Math.max(1, Math.round(f.share * all.size()));
        while (all.size() > wanted) {
            all.remove(r.nextInt(all.size()));
        }
        return all.stream().mapToInt(i -> i).toArray();
    }

    /** Whether operators ban a worker at times. */
    public boolean suspendsWorkers() {
        return blows.stream().anyMatch(b -> b.fault.what.equals(SUSPEND));
    }

    /** Whether operators ban this worker at times. */
    public boolean suspends(int worker) {
        return blows.stream()
                .filter(b -> b.fault.what.equals(SUSPEND))
                .anyMatch(b -> Arrays.stream(b.workers).anyMatch(w -> w == worker));
    }

    /** The name of a worker by its number. */
    public static String name(int worker) {
        return "w" + worker;
    }

    static double normal(SplittableRandom r) {
        return Math.sqrt(-2 * Math.log(1 - r.nextDouble()))
                * Math.cos(2 * Math.PI * r.nextDouble());
    }

    /**
     * Thinning (Lewis and Shedler, 1979): draws at the highest rate and keeps each by the rate of
     * its time.
     */
    private void draw(SplittableRandom times, SplittableRandom sizes) {
        Scenario.Load l = scenario.load;
        double most =
                switch (l.arrivals) {
                    case BURSTS -> l.rate * l.burstFactor;
                    case RAMP -> Math.max(l.rate, l.rampTo);
                    default -> l.rate;
                };
        for (Blow b : blows) {
            most *= b.fault.what.equals("burst") ? Math.max(1, b.fault.factor) : 1;
        }
        for (double t = gap(times, most); t < scenario.length; t += gap(times, most)) {
            if (times.nextDouble() * most < rateAt(t)) {
                add(t, null, null, Double.NaN, sizes);
            }
        }
    }

    private static double gap(SplittableRandom r, double rate) {
        return -1000 * Math.log(1 - r.nextDouble()) / rate;
    }

    /** Requests a second at this time. */
    public double rateAt(double t) {
        Scenario.Load l = scenario.load;
        double rate =
                switch (l.arrivals) {
                    case BURSTS ->
                            t % l.burstEvery < l.burstLength ? l.rate * l.burstFactor : l.rate;
                    case RAMP -> l.rate + (l.rampTo - l.rate) * t / scenario.length;
                    default -> l.rate;
                };
        for (Blow b : blows) {
            Scenario.Fault f = b.fault;
            rate *= f.what.equals("burst") && t >= f.at && t < f.at + f.length ? f.factor : 1;
        }
        return rate;
    }

    private void add(double due, String profile, String tenant, double work, SplittableRandom r) {
        Scenario.Kind k = profile == null ? kind(r) : scenario.kinds.get(profile);
        String who = tenant == null ? tenant(r) : tenant;
        double normal = normal(r);
        double uniform = 1 - r.nextDouble();
        double hintNormal = normal(r);
        boolean leaves = r.nextDouble() < scenario.load.leaves;
        double leavesAfter = r.nextDouble() * k.due;
        double w =
                !Double.isNaN(work)
                        ? work
                        : k.tail > 0
                                ? k.work * (k.tail - 1) / k.tail * Math.pow(uniform, -1 / k.tail)
                                : k.work * Math.exp(k.spread * normal - k.spread * k.spread / 2);
        for (Blow b : blows) {
            Scenario.Fault f = b.fault;
            boolean now = f.what.equals("heavy-tail") && due >= f.at && due < f.at + f.length;
            w *= now && uniform < 0.05 ? f.factor : 1;
        }
        // A longer run than the client will ever wait for would only fill the fleet.
        w = Math.min(Math.max(w, 0.01), 10 * k.expiry);
        double hint = k.hintSpread < 0 ? 0 : w * Math.exp(k.hintSpread * hintNormal);
        requests.add(new Request(requests.size(), due, k.name, who, w, hint, leaves, leavesAfter));
    }

    private Scenario.Kind kind(SplittableRandom r) {
        double all = scenario.kinds.values().stream().mapToDouble(k -> k.share).sum();
        double x = r.nextDouble() * all;
        Scenario.Kind last = null;
        for (Scenario.Kind k : scenario.kinds.values()) {
            last = k;
            x -= k.share;
            if (x < 0) {
                return k;
            }
        }
        return last;
    }

    private String tenant(SplittableRandom r) {
        double all = scenario.tenants.stream().mapToDouble(Scenario.Tenant::share).sum();
        double x = r.nextDouble() * all;
        for (Scenario.Tenant t : scenario.tenants) {
            x -= t.share();
            if (x < 0) {
                return t.name();
            }
        }
        return "";
    }

    /**
     * A recorded trace: a line a request, "milliseconds profile tenant work", the last two or one
     * left out.
     */
    private void follow(Path file, SplittableRandom sizes) throws IOException {
        int line = 0;
        for (String text : Files.readAllLines(file)) {
            line++;
            String[] parts = text.strip().split("\\s+");
            if (text.isBlank() || text.startsWith("#")) {
                continue;
            }
            try {
                double due = Double.parseDouble(parts[0]);
                if (parts.length < 2 || !scenario.kinds.containsKey(parts[1])) {
                    throw new IOException(
                            file
                                    + ":"
                                    + line
                                    + ": wants milliseconds and a profile of the scenario");
                }
                if (due < scenario.length) {
                    add(
                            due,
                            parts[1],
                            parts.length > 2 ? parts[2] : null,
                            parts.length > 3 ? Double.parseDouble(parts[3]) : Double.NaN,
                            sizes);
                }
            } catch (NumberFormatException e) {
                throw new IOException(file + ":" + line + ": holds no number where one is wanted");
            }
        }
    }

    /** The whole plan in words. */
    public String text() {
        StringBuilder t = new StringBuilder();
        for (int w = 0; w < speeds.length; w++) {
            t.append(
                    String.format(
                            Locale.ROOT,
                            "worker %s zone %s speed %.9f%n",
                            name(w),
                            zones[w],
                            speeds[w]));
        }
        for (Blow b : blows) {
            t.append(
                    String.format(
                            Locale.ROOT,
                            "fault %s at %.3f for %.3f on %s%n",
                            b.fault.what,
                            b.fault.at,
                            b.fault.length,
                            Arrays.toString(b.workers)));
        }
        for (Request r : requests) {
            t.append(
                    String.format(
                            Locale.ROOT,
                            "request %d at %.6f %s %s work %.6f hint %.6f leaves %b %.3f%n",
                            r.number,
                            r.due,
                            r.profile,
                            r.tenant,
                            r.work,
                            r.hint,
                            r.leaves,
                            r.leavesAfter));
        }
        return t.toString();
    }
}
