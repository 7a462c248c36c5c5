package gingerspool.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.route.Match;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * Random fragments, merged: the checker's verdict is held against a second statement of the rules,
 * which goes through every course that the assignments of a task could take under a policy and
 * looks at what overlaps, what repeats and what ends too late. It knows nothing of the checker's
 * formulas, and is slow.
 */
public class MergeTest {
    private static final int RUNS = 3000;
    private static final String[] EFFECTS = {"idempotent", "fingerprinted", "side-effecting"};
    private static final String[] ENDS = {"unreachable", "full", "error", "reset", "timeout"};
    private static final String[] PATHS = {
        "/a", "/b", "/a/*", "/a/**", "/a/b", "/a/b/**", "/**", "/*"
    };
    private static final String[] HOSTS = {"a.x.org", "b.x.org", "*.x.org", "*.org"};
    private static final String[] TENANTS = {"t", "u"};
    private static final double NONE = Double.POSITIVE_INFINITY;

    /** A policy as the fragments say it; what is left out is null or NaN. */
    private static final class Part {
        int assignments;
        double timeout = Double.NaN;
        double first = Double.NaN;
        double most;
        int copies;
        double after;
        String[] again;
        int limit;
        int tenantLimit;

        static Part random(SplittableRandom r, double often) {
            Part p = new Part();
            if (r.nextDouble() < often) {
                p.assignments = 1 + r.nextInt(5);
            }
            if (r.nextDouble() < often) {
                p.timeout = 250 * (1 + r.nextInt(9));
            }
            if (r.nextDouble() < often) {
                p.first = 125 * (1 + r.nextInt(4));
                p.most = p.first * (1 + r.nextInt(4));
            }
            if (r.nextDouble() < often / 2) {
                p.copies = 1 + r.nextInt(4);
                p.after = 250 * (1 + r.nextInt(4));
            }
            if (r.nextDouble() < often / 2) {
                List<String> some = new ArrayList<>(Arrays.asList(ENDS));
                some.removeIf(e -> r.nextInt(3) == 0);
                p.again = some.toArray(new String[0]);
            }
            if (r.nextDouble() < often / 2) {
                p.limit = 3 + r.nextInt(3);
            }
            if (r.nextDouble() < often / 2) {
                p.tenantLimit = 1 + r.nextInt(4);
            }
            return p;
        }

        Part over(Part o) {
            Part p = new Part();
            p.assignments = assignments > 0 ? assignments : o.assignments;
            p.timeout = Double.isNaN(timeout) ? o.timeout : timeout;
            p.first = Double.isNaN(first) ? o.first : first;
            p.most = Double.isNaN(first) ? o.most : most;
            p.copies = copies > 0 ? copies : o.copies;
            p.after = copies > 0 ? after : o.after;
            p.again = again != null ? again : o.again;
            p.limit = limit > 0 ? limit : o.limit;
            p.tenantLimit = tenantLimit > 0 ? tenantLimit : o.tenantLimit;
            return p;
        }

        String text() {
            StringBuilder t = new StringBuilder();
            t.append(assignments > 0 ? "assignments = " + assignments + "\n" : "");
            t.append(Double.isNaN(timeout) ? "" : "timeout = \"" + (int) timeout + "ms\"\n");
            t.append(
                    Double.isNaN(first)
                            ? ""
                            : "pause = { first = \""
                                    + (int) first
                                    + "ms\", most = \""
                                    + (int) most
                                    + "ms\", jitter = 0.5 }\n");
            t.append(
                    copies > 0
                            ? "copies = { most = "
                                    + copies
                                    + ", after = \""
                                    + (int) after
                                    + "ms\" }\n"
                            : "");
            t.append(again != null ? "again = [\"" + String.join("\", \"", again) + "\"]\n" : "");
            t.append(limit > 0 ? "limit = { in_hand = " + limit + " }\n" : "");
            t.append(tenantLimit > 0 ? "tenant_limit = { in_hand = " + tenantLimit + " }\n" : "");
            return t.toString().replace("[\"\"]", "[]");
        }
    }

    private static final class Route {
        Match match;
        Part part;
    }

    /** A whole file as generated. */
    private static final class Model {
        final String[] effects = new String[2];
        final double[] expiry = new double[2];
        final Part[] ofProfile = new Part[2];
        Part defaults;
        final List<Route> routes = new ArrayList<>();
        int most = 4;
        boolean copies = true;
        boolean cancels = true;
    }

    // ---- The second statement ----

    /** What any course of a task's assignments could do wrong. */
    private static final class Courses {
        final Part p;
        final int most;
        final String effect;
        final double expiry;
        final boolean cancels;
        final boolean barred;
        final Set<String> wrong = new HashSet<>();
        int atOnce;

        Courses(Part p, int most, String effect, double expiry, Model m) {
            this.p = p;
            this.most = most;
            this.effect = effect;
            this.expiry = expiry;
            cancels = m.cancels;
            barred = !m.copies;
        }

        /**
         * An assignment of the course: when it went out, when it ended for us, when it may run
         * until.
         */
        private static final class Sent {
            final double from;
            double end = NONE;
            double runsUntil;
            boolean mayHaveRun = true;

            Sent(double from) {
                this.from = from;
            }
        }

        void go() {
            go(new ArrayList<>(), 0);
        }

        /** Another assignment at this time; each way that it could end is gone through. */
        private void go(List<Sent> before, double at) {
            if (before.size() >= most) {
                return;
            }
            for (Sent s : before) {
                if (s.mayHaveRun && effect.equals("side-effecting")) {
                    wrong.add("repeat");
                }
                if (s.mayHaveRun && at < s.runsUntil) {
                    if (barred || !effect.equals("idempotent")) {
                        wrong.add(s.end <= at ? "overlap" : "copy");
                    }
                }
            }
            double own = Double.isNaN(p.timeout) ? NONE : p.timeout;
            if (at > expiry || own < expiry && at + own > expiry || own > expiry && own < NONE) {
                wrong.add("late");
                return;
            }
            for (int i = 0; i < 2 * ENDS.length; i++) {
                // Any end but a time-out may come at once, or as late as the time-out would.
                String how = ENDS[i / 2];
                boolean late = i % 2 == 1 && own < expiry;
                List<Sent> now = new ArrayList<>(before);
                Sent s = new Sent(at);
                now.add(s);
                boolean timesOut = how.equals("timeout");
                if (timesOut && own >= expiry) {
                    continue;
                }
                s.end = timesOut || late ? at + own : at;
                s.runsUntil = timesOut && !cancels ? NONE : s.end;
                s.mayHaveRun = !how.equals("unreachable") && !how.equals("full");
                if (again(how, s.mayHaveRun)) {
                    double pause =
                            Double.isNaN(p.first)
                                    ? 0
                                    : Math.min(p.most, p.first * (1 << now.size() - 1));
                    go(now, s.end + pause);
                }
            }
            copies(before, at, own);
        }

        private boolean again(String how, boolean mayHaveRun) {
            if (p.again != null) {
                return Arrays.asList(p.again).contains(how);
            }
            return !mayHaveRun || !effect.equals("side-effecting") || how.equals("timeout");
        }

        /** Nothing ends: copies join one after the other, while the first is still out. */
        private void copies(List<Sent> before, double at, double own) {
            int out = 1;
            double end = Math.min(expiry, at + own);
            for (double t = at + p.after;
                    p.copies > out && before.size() + out < most && t < end;
                    t += p.after) {
                out++;
                if (own < expiry && t + own > expiry) {
                    wrong.add("late");
                }
                // The first one's end frees a place, but the one that is out still overlaps.
                if (barred || !effect.equals("idempotent")) {
                    wrong.add("copy");
                }
            }
            atOnce = Math.max(atOnce, out);
        }
    }

    private static Set<String> verdict(Model m) {
        Set<String> wrong = new HashSet<>();
        for (int p = 0; p < 2; p++) {
            for (int r = -1; r < m.routes.size(); r++) {
                Match match = r < 0 ? null : m.routes.get(r).match;
                if (match != null && match.profile() != null && !match.profile().equals("p" + p)) {
                    continue;
                }
                Part below = m.ofProfile[p].over(m.defaults);
                Part part = r < 0 ? below : m.routes.get(r).part.over(below);
                if (part.assignments > m.most) {
                    wrong.add("many");
                }
                int most = Math.min(m.most, part.assignments > 0 ? part.assignments : m.most);
                Courses c = new Courses(part, most, m.effects[p], m.expiry[p], m);
                c.go();
                wrong.addAll(c.wrong);
                if (part.copies > 1 && !m.effects[p].equals("idempotent")) {
                    wrong.add("copy");
                }
                if (part.copies > 1 && (part.copies > most || c.atOnce < 2)) {
                    wrong.add("copy never sent");
                }
                if (part.limit > 0 && part.tenantLimit > part.limit) {
                    wrong.add("tenant");
                }
            }
        }
        for (int r = 0; r < m.routes.size(); r++) {
            if (!everTaken(m, r)) {
                wrong.add("never");
            }
        }
        return wrong;
    }

    /**
     * Tries every task of a small world, which has a path part, a host and a tenant that no pattern
     * names.
     */
    private static boolean everTaken(Model m, int route) {
        for (String path :
                new String[] {
                    "/a", "/b", "/c", "/a/b", "/a/c", "/c/c", "/a/b/c", "/a/c/c", "/c/c/c"
                }) {
            for (String host : new String[] {"a.x.org", "b.x.org", "c.x.org", "c.org", "c"}) {
                for (String tenant : new String[] {"t", "u", "v"}) {
                    for (int p = 0; p < 2; p++) {
                        int first = 0;
                        while (first < route
                                && !m.routes
                                        .get(first)
                                        .match
                                        .matches("p" + p, path, host, tenant)) {
                            first++;
                        }
                        if (first == route
                                && m.routes.get(route).match.matches("p" + p, path, host, tenant)) {
                            return true;
                        }
                    }
                }
            }
        }
        return false;
    }

    // ---- Fragments ----

    private static <T> T any(SplittableRandom r, T[] from, double often) {
        return r.nextDouble() < often ? from[r.nextInt(from.length)] : null;
    }

    private static Model model(SplittableRandom r) {
        Model m = new Model();
        for (int p = 0; p < 2; p++) {
            m.effects[p] = EFFECTS[r.nextInt(3)];
            m.expiry[p] = 500 * (2 + r.nextInt(9));
            m.ofProfile[p] = Part.random(r, 0.15);
        }
        m.defaults = Part.random(r, 0.1);
        for (int i = r.nextInt(4); i > 0; i--) {
            Route route = new Route();
            route.match =
                    new Match(
                            any(r, new String[] {"p0", "p1"}, 0.7),
                            any(r, PATHS, 0.4),
                            any(r, HOSTS, 0.3),
                            any(r, TENANTS, 0.3));
            route.part = Part.random(r, 0.4);
            m.routes.add(route);
        }
        m.most = r.nextInt(4) == 0 ? 1 + r.nextInt(4) : 4;
        m.copies = r.nextInt(3) > 0;
        m.cancels = r.nextInt(3) > 0;
        return m;
    }

    private static List<String> fragments(Model m, SplittableRandom r) {
        List<String> all = new ArrayList<>();
        for (int p = 0; p < 2; p++) {
            all.add(
                    "[profile.p"
                            + p
                            + "]\neffect = \""
                            + m.effects[p]
                            + "\"\nexpiry = \""
                            + (int) m.expiry[p]
                            + "ms\"\ndue = \"1ms\"\n"
                            + m.ofProfile[p].text());
        }
        all.add("[defaults]\n" + m.defaults.text());
        all.add(
                "[limits]\nassignments = "
                        + m.most
                        + "\ncopies = "
                        + m.copies
                        + "\ncancels = "
                        + m.cancels
                        + "\n");
        for (int i = all.size() - 1; i > 0; i--) {
            all.set(i, all.set(r.nextInt(i + 1), all.get(i)));
        }
        for (int i = 0; i < m.routes.size(); i++) {
            Match x = m.routes.get(i).match;
            all.add(
                    "[[route]]\nname = \"r"
                            + i
                            + "\"\n"
                            + key("profile", x.profile())
                            + key("path", x.path())
                            + key("host", x.host())
                            + key("tenant", x.tenant())
                            + m.routes.get(i).part.text());
        }
        return all;
    }

    private static String key(String name, String value) {
        return value == null ? "" : "match." + name + " = \"" + value + "\"\n";
    }

    private static OperatorFile read(Path folder, List<String> fragments, SplittableRandom r)
            throws IOException {
        // Some stand in the main file, which comes first; the rest in its includes, in order.
        int here = r.nextInt(fragments.size() + 1);
        StringBuilder main = new StringBuilder("include = [");
        for (int i = here; i < fragments.size(); i++) {
            Files.writeString(folder.resolve(i + ".toml"), fragments.get(i));
            main.append('"').append(i).append(".toml\", ");
        }
        main.append("]\n");
        fragments.subList(0, here).forEach(main::append);
        return OperatorFile.read(Files.writeString(folder.resolve("main.toml"), main));
    }

    @Test
    public void theCheckerAgreesWithASlowSecondStatementOfTheRules() throws IOException {
        Path folder = Files.createTempDirectory("gingerspool");
        int bad = 0;
        Set<String> seen = new HashSet<>();
        for (int seed = 0; seed < RUNS; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            Model m = model(r);
            List<String> fragments = fragments(m, r);
            Set<String> wrong = verdict(m);
            OperatorFile file = read(folder, fragments, r);
            assertEquals(
                    file.faults().isEmpty(),
                    wrong.isEmpty(),
                    "seed "
                            + seed
                            + ": second statement "
                            + wrong
                            + ", checker "
                            + file.faults()
                            + "\n"
                            + String.join("", fragments));
            bad += wrong.isEmpty() ? 0 : 1;
            seen.addAll(wrong);
        }
        assertTrue(bad > RUNS / 10 && bad < RUNS * 9 / 10, bad + " of " + RUNS + " were bad");
        assertEquals(seen.size(), 8, "kinds of faults that came up: " + seen);
        try (var entries = Files.list(folder)) {
            for (Path p : (Iterable<Path>) entries::iterator) {
                Files.delete(p);
            }
        }
        Files.delete(folder);
    }
}
