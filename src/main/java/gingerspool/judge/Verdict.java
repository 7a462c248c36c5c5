package gingerspool.judge;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What the judge found: violations, and how well those who asked were served. */
public final class Verdict {
    /**
     * How the requests of some sort fared. Latencies are ms from when a request was due to its last
     * answer.
     */
    public static final class Group {
        public int asked;
        public int finished;
        public int bounced;
        public int abandoned;
        public int left;

        /** Utility asked for, and got in time (or late, for as much as that is worth). */
        public double offered;

        public double got;
        private final List<Double> latencies = new ArrayList<>();

        /** Utility got over utility asked for. */
        public double service() {
            return offered > 0 ? got / offered : 1;
        }

        /** The latency that a share of finished requests stays within, or NaN. */
        public double latency(double share) {
            double[] all = latencies.stream().mapToDouble(d -> d).sorted().toArray();
            return all.length == 0
                    ? Double.NaN
                    : all[(int) Math.min(all.length - 1, Math.floor(share * all.length))];
        }
    }

    private static final Set<String> ENDS = Set.of("ended", "failed", "dropped", "lost");

    private final List<Judge.Violation> violations;
    private final List<Judge.Violation> explained;
    private final Group all = new Group();
    private final Map<String, Group> byProfile = new TreeMap<>();
    private final Map<String, Group> byTenant = new TreeMap<>();
    private final Map<String, Double> workByWorker = new TreeMap<>();
    private double workDone;
    private double workOfUse;
    private final double[] serviceBySecond;
    private final List<String> faults = new ArrayList<>();
    private final List<double[]> faultTimes = new ArrayList<>();

    Verdict(Records r, List<Judge.Violation> violations) {
        this.violations = violations.stream().filter(v -> !isExplained(v)).toList();
        explained = violations.stream().filter(Verdict::isExplained).toList();
        Map<Integer, List<Records.Try>> byRequest = new LinkedHashMap<>();
        r.tries.forEach(t -> byRequest.computeIfAbsent(t.request(), k -> new ArrayList<>()).add(t));
        int seconds = (int) Math.ceil(r.length / 1000);
        double[] offered = new double[seconds];
        double[] got = new double[seconds];
        Set<String> delivered = new HashSet<>();
        byRequest
                .values()
                .forEach(
                        tries -> {
                            Records.Try last = tries.get(0);
                            for (Records.Try t : tries) {
                                last = t.number() >= last.number() ? t : last;
                            }
                            if (last.status().equals("200")) {
                                delivered.add(last.id() + " " + last.result());
                            }
                            Records.Kind k = r.kinds.get(last.profile());
                            double worth =
                                    last.status().equals("200")
                                            ? last.at() <= last.due() + k.due()
                                                    ? k.utility()
                                                    : k.tardy()
                                            : 0;
                            boolean left = last.status().equals("left");
                            for (Group g :
                                    List.of(
                                            all,
                                            byProfile.computeIfAbsent(
                                                    last.profile(), x -> new Group()),
                                            byTenant.computeIfAbsent(
                                                    last.tenant(), x -> new Group()))) {
                                g.asked++;
                                // Who goes away asks for nothing any more.
                                g.offered += left ? 0 : k.utility();
                                g.got += worth;
                                g.finished += last.status().equals("200") ? 1 : 0;
                                g.bounced += last.isBounced() ? 1 : 0;
                                g.left += left ? 1 : 0;
                                g.abandoned +=
                                        left || last.isBounced() || last.status().equals("200")
                                                ? 0
                                                : 1;
                                if (last.status().equals("200")) {
                                    g.latencies.add(last.at() - last.due());
                                }
                            }
                            int s =
                                    (int)
                                            Math.max(
                                                    0,
                                                    Math.min(
                                                            seconds - 1,
                                                            (last.due() - r.begun) / 1000));
                            offered[s] += left ? 0 : k.utility();
                            got[s] += worth;
                        });
        serviceBySecond = new double[seconds];
        Arrays.setAll(serviceBySecond, i -> offered[i] > 0 ? got[i] / offered[i] : Double.NaN);
        work(r, delivered);
    }

    private void work(Records r, Set<String> delivered) {
        Map<String, Records.Event> running = new HashMap<>();
        Map<String, Double> began = new HashMap<>();
        for (Records.Event e : r.events) {
            String key = e.task() + " " + e.who();
            if (e.what().equals("started")) {
                running.put(key, e);
            } else if (e.what().equals("begins")) {
                began.put(e.detail(), e.at());
            } else if (e.what().equals("ends") && e.who().equals("fault")) {
                faults.add(e.detail());
                faultTimes.add(new double[] {began.get(e.detail()) - r.begun, e.at() - r.begun});
            } else if (running.containsKey(key) && ENDS.contains(e.what())) {
                double took = e.at() - running.remove(key).at();
                workDone += took;
                workByWorker.merge(e.who(), took, Double::sum);
                workOfUse +=
                        e.what().equals("ended") && delivered.contains(e.task() + " " + e.detail())
                                ? took
                                : 0;
            }
        }
    }

    private static boolean isExplained(Judge.Violation v) {
        return v.cause() == Cause.SCHEDULER_PAUSED;
    }

    /** The breaches: all that no recorded pause of a scheduler explains. */
    public List<Judge.Violation> violations() {
        return violations;
    }

    /** What a recorded pause of its scheduler explains wholly; no breach. */
    public List<Judge.Violation> explained() {
        return explained;
    }

    /**
     * Whether the play decides nothing: there are breaches, and the record shows of every one that
     * the tool itself was late.
     */
    public boolean isVoid() {
        return !violations.isEmpty()
                && violations.stream().allMatch(v -> v.cause() == Cause.TOOL_LATE);
    }

    /** The breaches that count: none in a play that decides nothing. */
    public int broken() {
        return isVoid() ? 0 : violations.size();
    }

    /** Violations by rule, those without any included. */
    public Map<Judge.Rule, Integer> byRule() {
        return Judge.count(violations);
    }

    public Group all() {
        return all;
    }

    public Map<String, Group> byProfile() {
        return byProfile;
    }

    public Map<String, Group> byTenant() {
        return byTenant;
    }

    /** Share of workers' running time whose result reached nobody. */
    public double waste() {
        return workDone > 0 ? 1 - workOfUse / workDone : 0;
    }

    /** Running time by worker, in ms. */
    public Map<String, Double> workByWorker() {
        return workByWorker;
    }

    /** Service by the second in which requests were due; NaN where none was. */
    public double[] serviceBySecond() {
        return serviceBySecond.clone();
    }

    /** The faults that were played, and from when to when in ms since the begin. */
    public List<String> faults() {
        return faults;
    }

    public List<double[]> faultTimes() {
        return faultTimes;
    }
}
