package gingerspool.route;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class MatchTableTest {
    private static final String[] PARTS = {"a", "b", "*", "c"};
    private static final String[] HOSTS = {
        "x.org", "a.x.org", "*.x.org", "*.org", "b.a.x.org", "*.a.x.org"
    };

    private static String any(SplittableRandom r, String... from) {
        int i = r.nextInt(from.length + 1);
        return i == from.length ? null : from[i];
    }

    private static String path(SplittableRandom r, boolean pattern) {
        StringBuilder p = new StringBuilder();
        for (int i = r.nextInt(4); i >= 0; i--) {
            p.append('/').append(PARTS[r.nextInt(pattern ? 3 : 4)]);
        }
        return p + (pattern && r.nextInt(3) == 0 ? "/**" : "");
    }

    private static List<Match> matches(SplittableRandom r, int most) {
        List<Match> all = new ArrayList<>();
        for (int n = r.nextInt(most); n > 0; n--) {
            all.add(
                    new Match(
                            any(r, "p", "q"),
                            r.nextInt(3) == 0 ? null : path(r, true),
                            any(r, HOSTS),
                            any(r, "t", "u")));
        }
        return all;
    }

    /** The lookup returns the same match as a linear search, for random matches and tasks. */
    @Test
    public void firstAgreesWithLinearSearch() {
        for (int seed = 0; seed < 3000; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            List<Match> all = matches(r, 12);
            MatchTable table = new MatchTable();
            all.forEach(table::add);
            for (int i = 0; i < 30; i++) {
                String profile = any(r, "p", "q");
                String path = r.nextInt(9) == 0 ? null : path(r, false);
                String host = any(r, "x.org", "A.x.ORG:80", "b.a.x.org", "y", "c.org.");
                String tenant = any(r, "t", "u", "v");
                int expected = 0;
                while (expected < all.size()
                        && !all.get(expected).matches(profile, path, host, tenant)) {
                    expected++;
                }
                assertEquals(
                        table.first(profile, path, host, tenant),
                        expected == all.size() ? -1 : expected,
                        "seed " + seed + ": " + profile + " " + path + " " + host + " " + tenant
                                + " in " + all);
            }
        }
    }

    /** A covering match accepts every task of the covered one; an equal match is always covered. */
    @Test
    public void coveringMatchAcceptsEveryCoveredTask() {
        for (int seed = 0; seed < 3000; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            List<Match> all = matches(r, 6);
            MatchTable table = new MatchTable();
            all.forEach(table::add);
            Match m =
                    new Match(
                            any(r, "p", "q"),
                            r.nextInt(3) == 0 ? null : path(r, true),
                            any(r, HOSTS),
                            any(r, "t", "u"));
            int by = table.covering(m);
            for (int i = 0; i < 60 && by >= 0; i++) {
                String profile = any(r, "p", "q");
                String path = path(r, false);
                String host = any(r, "x.org", "a.x.org", "b.a.x.org", "y", "c.org");
                String tenant = any(r, "t", "u", "v");
                assertTrue(
                        !m.matches(profile, path, host, tenant)
                                || all.get(by).matches(profile, path, host, tenant),
                        "seed " + seed);
            }
            if (by < 0) {
                assertEquals(
                        all.indexOf(m), -1, "seed " + seed + ": the same match takes all of it");
            }
        }
    }

    @Test
    public void pathsWithManySegmentsAreBounded() {
        MatchTable table = new MatchTable();
        table.add(new Match(null, "/*/*/*/*/**", null, null));
        table.add(new Match(null, "/a/*/a/*/a/*/a/*/a/*/a", null, null));
        assertEquals(table.first("p", "/a".repeat(5000), "h".repeat(3000), "t"), 0);
        assertEquals(table.first("p", "/".repeat(3), ".".repeat(300), ""), -1);
    }
}
