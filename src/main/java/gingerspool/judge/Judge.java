package gingerspool.judge;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Holds what clients and workers wrote down against the rules. It knows nothing of a scheduler but
 * its number, and reads nothing else: judge(clients, executions). Each check is a rule with a name,
 * and each violation names the task, the times and the lines.
 */
public final class Judge {
    /**
     * How much later than its time something may be seen, in ms: clocks of two loops, a turn, a
     * full core.
     */
    static final double SLACK = 50;

    /** How long word of an end may be on its way to a worker before it counts as not sent. */
    private static final double ON_ITS_WAY = 150;

    private static final Set<String> STILL_OUT = Set.of("taken", "started", "untold", "told-oddly");

    /** The rules, by the names that violations carry. */
    public enum Rule {
        /** Each task taken gets an answer before its expiry. */
        ONE_ANSWER,
        /** And only one. */
        NOTHING_AFTER,
        /** A result is what a worker made for that task. */
        TRUE_RESULT,
        /** No effect twice. */
        NO_EFFECT_TWICE,
        /** A bounce promises that nothing ran, or will. */
        BOUNCED_NEVER_RAN,
        /** No overlap where copies are barred. */
        NO_OVERLAP,
        /** Nothing new to a draining or gone worker after the grace. */
        DRAINS,
        /** Nothing new to a worker that its scheduler has said is suspended. */
        BANS,
        /** Together, no more than a cold worker bears. */
        COLD,
        /** An operators' call that is owed a yes gets it in time. */
        OPERATORS
    }

    /** One violation, and what the record shows beside it; times are ms since the load began. */
    public record Violation(Rule rule, String task, double at, String what, Cause cause) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s at %.1f ms, task %s: %s", rule, at, task, what);
        }
    }

    private final Records r;
    private final List<Violation> violations = new ArrayList<>();
    private Records.Event duties;

    private Judge(Records r) {
        this.r = r;
        for (Records.Event e : r.events) {
            duties = e.what().equals("rules") ? e : duties;
        }
    }

    /** Reads both records and judges them. */
    public static Verdict judge(Path clients, Path executions) throws IOException {
        Records r = new Records(clients, executions);
        Judge j = new Judge(r);
        if (j.duties == null) {
            throw new IOException(executions + ": holds no line of the rules");
        }
        new AnswerRules(r, j::found).answers();
        j.extras();
        j.results();
        j.effects();
        j.bounces();
        j.overlaps();
        WorkerRules workers = new WorkerRules(r, j.duties, j::breach);
        workers.drains();
        workers.bans();
        workers.cold();
        new OperatorRules(r, j::found).answers();
        return new Verdict(r, j.violations);
    }

    private void breach(Rule rule, String task, double at, String what) {
        found(rule, task, at, what, Cause.UNEXPLAINED);
    }

    private void found(Rule rule, String task, double at, String what, Cause cause) {
        violations.add(new Violation(rule, task, at - r.begun, what, cause));
    }

    private List<Records.Event> of(String task) {
        return r.byTask.getOrDefault(task, List.of());
    }

    // ---- Answers ----

    private void extras() {
        for (Records.Extra e : r.extras) {
            breach(
                    Rule.NOTHING_AFTER,
                    e.id(),
                    e.at(),
                    "more came after its answer from scheduler "
                            + e.scheduler()
                            + ", client line "
                            + e.line());
        }
    }

    private void results() {
        for (Records.Try t : r.tries) {
            if (!t.status().equals("200")) {
                continue;
            }
            boolean made = false;
            for (Records.Event e : of(t.id())) {
                made |=
                        e.what().equals("ended")
                                && e.detail().equals(t.result())
                                && e.at() <= t.at() + SLACK;
            }
            if (!made) {
                breach(
                        Rule.TRUE_RESULT,
                        t.id(),
                        t.at(),
                        "answered with \""
                                + t.result()
                                + "\", which no worker made for it, client line "
                                + t.line());
            }
        }
    }

    // ---- Effects ----

    private void effects() {
        Map<String, String> zones = new HashMap<>();
        Map<String, String> cells = new HashMap<>();
        for (Records.Event e : r.events) {
            if (e.what().equals("in")) {
                zones.put(e.who(), e.text("zone"));
                cells.put(e.who(), e.text("cell"));
            }
        }
        for (Records.Try t : r.tries) {
            Records.Kind k = r.kinds.get(t.profile());
            Records.Event first = null;
            for (Records.Event e : of(t.id())) {
                if (!e.what().equals("started")) {
                    continue;
                }
                if (first == null) {
                    first = e;
                } else if (k.effect().equals("side-effecting")) {
                    breach(
                            Rule.NO_EFFECT_TWICE,
                            t.id(),
                            e.at(),
                            "ran at "
                                    + first.who()
                                    + " (line "
                                    + first.line()
                                    + ") and again at "
                                    + e.who()
                                    + " (line "
                                    + e.line()
                                    + ")");
                } else if (k.effect().equals("fingerprinted")) {
                    Map<String, String> group = k.scope().equals("zone") ? zones : cells;
                    boolean apart =
                            !k.scope().equals("all")
                                    && !group.getOrDefault(first.who(), "")
                                            .equals(group.getOrDefault(e.who(), ""));
                    if (apart || asked(t.id(), e) > asked(t.id(), first) + k.window() + SLACK) {
                        breach(
                                Rule.NO_EFFECT_TWICE,
                                t.id(),
                                e.at(),
                                "ran again at "
                                        + e.who()
                                        + " (line "
                                        + e.line()
                                        + ") "
                                        + (apart ? "outside the " + k.scope() : "after the window")
                                        + " of its first run at "
                                        + first.who()
                                        + " (line "
                                        + first.line()
                                        + ")");
                    }
                }
            }
        }
    }

    /** When the run that this event begins was asked for. */
    private double asked(String task, Records.Event run) {
        double at = run.at();
        for (Records.Event e : of(task)) {
            at =
                    e.what().equals("asked") && e.who().equals(run.who()) && e.line() < run.line()
                            ? e.at()
                            : at;
        }
        return at;
    }

    /**
     * Only what is idempotent may have run; that the rest never runs is the promise of a bounce.
     */
    private void bounces() {
        for (Records.Try t : r.tries) {
            Records.Kind k = r.kinds.get(t.profile());
            boolean harmless =
                    k.effect().equals("idempotent")
                            || k.effect().equals("fingerprinted") && k.scope().equals("all");
            if (!t.isBounced() || harmless) {
                continue;
            }
            for (Records.Event e : of(t.id())) {
                if (e.what().equals("started")) {
                    breach(
                            Rule.BOUNCED_NEVER_RAN,
                            t.id(),
                            e.at(),
                            "bounced (client line "
                                    + t.line()
                                    + ") and run at "
                                    + e.who()
                                    + " (line "
                                    + e.line()
                                    + ")");
                }
            }
        }
    }

    private void overlaps() {
        boolean copies = Boolean.parseBoolean(duties.text("copies"));
        boolean cancels = Boolean.parseBoolean(duties.text("cancels"));
        Map<String, List<double[]>> cuts = cuts();
        for (Records.Try t : r.tries) {
            Records.Kind k = r.kinds.get(t.profile());
            if (k.effect().equals("idempotent") && copies) {
                continue;
            }
            List<Records.Event> all = of(t.id());
            for (int i = 0; i < all.size(); i++) {
                Records.Event a = all.get(i);
                if (!a.what().equals("asked")) {
                    continue;
                }
                for (int j = i + 1; j < all.size(); j++) {
                    Records.Event b = all.get(j);
                    if (b.what().equals("asked")
                            && isOut(all, a, b.at())
                            && cancels
                            && !within(cuts.get(a.who()), a.at(), b.at() + ON_ITS_WAY)) {
                        breach(
                                Rule.NO_OVERLAP,
                                t.id(),
                                b.at(),
                                "sent to "
                                        + b.who()
                                        + " (line "
                                        + b.line()
                                        + ") while it was out at "
                                        + a.who()
                                        + " (line "
                                        + a.line()
                                        + ")");
                    }
                }
            }
        }
    }

    /**
     * Whether the assignment asked for here had neither ended nor, as far as that shows, been given
     * up by then.
     */
    private static boolean isOut(List<Records.Event> all, Records.Event asked, double by) {
        for (Records.Event e : all) {
            if (e.line() <= asked.line() || !e.who().equals(asked.who())) {
                continue;
            }
            boolean stillOut = STILL_OUT.contains(e.what());
            // Its end is known to nobody before it; that it was given up is said just before the
            // next one
            // goes out.
            if (!stillOut && e.at() <= by + (e.what().equals("dropped") ? ON_ITS_WAY : 1)) {
                return false;
            }
        }
        return true;
    }

    private Map<String, List<double[]>> cuts() {
        Map<String, List<double[]>> cuts = new HashMap<>();
        for (Records.Event e : r.events) {
            if (e.what().equals("cut")) {
                cuts.computeIfAbsent(e.who(), w -> new ArrayList<>())
                        .add(new double[] {e.at(), Double.POSITIVE_INFINITY});
            } else if (e.what().equals("back")) {
                List<double[]> of = cuts.get(e.who());
                of.get(of.size() - 1)[1] = e.at();
            }
        }
        return cuts;
    }

    private static boolean within(List<double[]> cuts, double from, double to) {
        return cuts != null && cuts.stream().anyMatch(c -> c[0] <= to && c[1] >= from);
    }

    /** Violations by rule. */
    static Map<Rule, Integer> count(List<Violation> all) {
        Map<Rule, Integer> n = new LinkedHashMap<>();
        for (Rule rule : Rule.values()) {
            n.put(rule, (int) all.stream().filter(v -> v.rule() == rule).count());
        }
        return n;
    }
}
