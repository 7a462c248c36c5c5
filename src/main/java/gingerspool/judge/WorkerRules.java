package gingerspool.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** The rules on workers that drain, are suspended or are still cold. */
final class WorkerRules {
    /** Where breaches go: the rule, the task, when it broke and what happened. */
    interface Breaches {
        void add(Judge.Rule rule, String task, double at, String what);
    }

    private final Records r;
    private final Records.Event duties;
    private final Breaches breaches;

    WorkerRules(Records r, Records.Event duties, Breaches breaches) {
        this.r = r;
        this.duties = duties;
        this.breaches = breaches;
    }

    /** Nothing new to a draining or gone worker after the grace. */
    void drains() {
        double grace = duties.number("grace", 0);
        double deemed = duties.number("deemed", 0);
        Set<Integer> all = new HashSet<>();
        r.events.forEach(e -> all.add(e.scheduler()));
        // By worker: what it was listed as last and since when; by scheduler besides: when that was
        // told.
        Map<String, Records.Event> listed = new HashMap<>();
        Map<String, Double> told = new HashMap<>();
        for (Records.Event e : r.events) {
            if (e.what().equals("listed")) {
                listed.put(e.who(), e);
                all.forEach(s -> told.remove(e.who() + " " + s));
            } else if (e.what().equals("told")) {
                told.putIfAbsent(e.who() + " " + e.scheduler(), e.at());
            } else if (e.what().equals("asked")
                    || e.what().equals("failed") && e.detail().contains("first=")) {
                Records.Event l = listed.get(e.who());
                if (l == null || l.detail().equals("SERVING")) {
                    continue;
                }
                double since =
                        Math.min(
                                l.at() + deemed,
                                told.getOrDefault(
                                        e.who() + " " + e.scheduler(), Double.POSITIVE_INFINITY));
                double first = e.number("first", e.at());
                if (first > since + grace + Judge.SLACK) {
                    breaches.add(
                            Judge.Rule.DRAINS,
                            e.task(),
                            first,
                            String.format(
                                    Locale.ROOT,
                                    "sent by scheduler %d to %s (line %d), "
                                            + "which was told as %s %.0f ms before (line %d)",
                                    e.scheduler(),
                                    e.who(),
                                    e.line(),
                                    l.detail(),
                                    first - since,
                                    l.line()));
                }
            }
        }
    }

    /**
     * Nothing new to a worker that its scheduler has said is suspended. What the worker read late
     * counts from when it came to the worker's machine, where the record tells that.
     */
    void bans() {
        for (Records.Event e : r.events) {
            if (!e.what().equals("asked") && !e.detail().contains("first=")) {
                continue;
            }
            double first = e.number("came", e.number("first", e.at()));
            Records.Befell ban = null;
            for (Records.Befell b : r.schedulers) {
                if (b.scheduler() == e.scheduler() && b.at() + Judge.SLACK < first) {
                    ban =
                            b.what().equals("suspended " + e.who())
                                    ? b
                                    : b.what().equals("resumed " + e.who()) ? null : ban;
                }
            }
            if (ban != null && !resumedBy(e, first)) {
                breaches.add(
                        Judge.Rule.BANS,
                        e.task(),
                        first,
                        String.format(
                                Locale.ROOT,
                                "sent by scheduler %d to %s (line %d), which was suspended %.0f ms before",
                                e.scheduler(),
                                e.who(),
                                e.line(),
                                first - ban.at()));
            }
        }
    }

    /** A call back counts from when it is made, not only after some slack. */
    private boolean resumedBy(Records.Event e, double first) {
        return r.schedulers.stream()
                .anyMatch(
                        b ->
                                b.scheduler() == e.scheduler()
                                        && b.at() <= first
                                        && b.at() + Judge.SLACK >= first
                                        && b.what().equals("resumed " + e.who()));
    }

    /** Together, no more than a cold worker bears. */
    void cold() {
        double overload = duties.number("overload", Double.POSITIVE_INFINITY);
        double window = duties.number("window", 1000);
        Map<String, Records.Event> up = new HashMap<>();
        Map<String, List<double[]>> taken = new HashMap<>();
        Map<String, Double> work = new HashMap<>();
        Set<String> over = new HashSet<>();
        for (Records.Event e : r.events) {
            if (e.what().equals("up")) {
                up.put(e.who(), e);
                taken.put(e.who(), new ArrayList<>());
                over.remove(e.who());
            } else if (e.what().equals("asked")) {
                work.put(e.task() + e.who(), e.number("work", 0));
            } else if (e.what().equals("taken")
                    && up.containsKey(e.who())
                    && !over.contains(e.who())) {
                Records.Event born = up.get(e.who());
                double warm = born.number("warm", 0);
                double age = e.at() - born.at();
                if (warm <= 0 || age >= warm) {
                    continue;
                }
                List<double[]> all = taken.get(e.who());
                double w = work.getOrDefault(e.task() + e.who(), 0.0);
                all.add(new double[] {e.at(), w});
                all.removeIf(x -> x[0] < e.at() - window);
                double from = born.number("from", 1);
                double bears =
                        overload
                                * born.number("slots", 1)
                                * born.number("speed", 1)
                                * (from + (1 - from) * age / warm)
                                * window;
                double sum = all.stream().mapToDouble(x -> x[1]).sum();
                // One task may come at any time: only what others add to it can be too much.
                if (sum > bears && all.size() > 1) {
                    over.add(e.who());
                    breaches.add(
                            Judge.Rule.COLD,
                            e.task(),
                            e.at(),
                            String.format(
                                    Locale.ROOT,
                                    "%s, up for %.0f ms (line %d), was given %.0f ms of work "
                                            + "within %.0f ms and bears "
                                            + "%.0f (line %d)",
                                    e.who(),
                                    age,
                                    born.line(),
                                    sum,
                                    window,
                                    bears,
                                    e.line()));
                }
            }
        }
    }
}
