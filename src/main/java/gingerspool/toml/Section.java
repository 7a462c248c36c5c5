package gingerspool.toml;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * One table of an operator's file as it is read: ask it for each key that it may have, then call
 * end(), which complains of the keys that nobody asked for. What can't be used becomes a fault, and
 * the fallback is returned, so that all faults are found at once. What was asked for is noted for
 * `explain`.
 */
public final class Section {
    public final String path;
    public final SourceLocation at;
    private final Map<String, Node> entries;
    private final List<Diagnostic> faults;
    private final Map<String, SourcedValue<String>> notes;
    private final TreeSet<String> known = new TreeSet<>();

    /** A table that may be absent (null). */
    public Section(
            String path,
            Node node,
            SourceLocation other,
            List<Diagnostic> faults,
            Map<String, SourcedValue<String>> notes) {
        this.path = path;
        this.faults = faults;
        this.notes = notes;
        at = node == null ? other : node.at;
        Map<String, Node> table = node == null ? Map.of() : node.table();
        if (table == null) {
            faults.add(new Diagnostic(node.at, path, "is " + node.sort() + ", wanted a table"));
            table = Map.of();
        }
        entries = table;
    }

    public boolean has(String key) {
        known.add(key);
        return entries.containsKey(key);
    }

    public SourceLocation placeOf(String key) {
        Node n = entries.get(key);
        return n == null ? at : n.at;
    }

    public String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    public void fault(String key, String what) {
        faults.add(new Diagnostic(placeOf(key), key.isEmpty() ? path : path(key), what));
    }

    /** A table inside this one. */
    public Section section(String key) {
        known.add(key);
        return new Section(path(key), entries.get(key), at, faults, notes);
    }

    /** The tables of a list of tables, [[key]]. */
    public List<Section> sections(String key) {
        known.add(key);
        Node n = entries.get(key);
        List<Section> all = new ArrayList<>();
        if (n != null && n.list() == null) {
            fault(key, "is " + n.sort() + ", wanted [[" + key + "]]");
        } else if (n != null) {
            for (int i = 0; i < n.list().size(); i++) {
                all.add(new Section(path(key) + "[" + i + "]", n.list().get(i), at, faults, notes));
            }
        }
        return all;
    }

    /** The tables by name, [key.NAME]. */
    public Map<String, Section> named(String key) {
        known.add(key);
        Node n = entries.get(key);
        Map<String, Section> all = new LinkedHashMap<>();
        if (n != null && n.table() == null) {
            fault(key, "is " + n.sort() + ", wanted [" + key + ".NAME]");
        } else if (n != null) {
            n.table()
                    .forEach(
                            (name, t) ->
                                    all.put(
                                            name,
                                            new Section(
                                                    path(key) + "." + name, t, at, faults, notes)));
        }
        return all;
    }

    // ---- Values; each is null where the key is absent and there is no fallback ----

    /** A span of time in milliseconds. */
    public SourcedValue<Double> span(String key, Double other, double least, double most) {
        return unit(
                key,
                other,
                least,
                most,
                Units::span,
                "a span of time such as \"250ms\"",
                Units::text);
    }

    /** A size in bytes. */
    public SourcedValue<Double> size(String key, Double other, double least, double most) {
        return unit(
                key,
                other,
                least,
                most,
                Units::size,
                "a size such as \"64KiB\"",
                n -> Units.plain(n) + "B");
    }

    private SourcedValue<Double> unit(
            String key,
            Double other,
            double least,
            double most,
            Function<String, Double> read,
            String form,
            Function<Double, String> shown) {
        return value(
                key,
                other,
                shown,
                n -> {
                    if (!(n.value instanceof String text)) {
                        return bad(
                                key,
                                n.value instanceof Number
                                        ? "has no unit, wanted " + form
                                        : "is " + n.sort() + ", wanted " + form);
                    }
                    double v = read.apply(text);
                    if (Double.isNaN(v)) {
                        return bad(key, "is \"" + text + "\", wanted " + form);
                    }
                    return within(key, v, least, most, shown);
                });
    }

    public SourcedValue<Double> number(String key, Double other, double least, double most) {
        return value(
                key,
                other,
                Units::plain,
                n -> {
                    if (!(n.value instanceof Number v) || !Double.isFinite(v.doubleValue())) {
                        return bad(
                                key,
                                "is "
                                        + (n.value instanceof Number ? "not finite" : n.sort())
                                        + ", wanted a number");
                    }
                    return within(key, v.doubleValue(), least, most, Units::plain);
                });
    }

    public SourcedValue<Integer> whole(String key, Integer other, int least, int most) {
        return value(
                key,
                other,
                String::valueOf,
                n -> {
                    if (!(n.value instanceof Long v)) {
                        return bad(key, "is " + n.sort() + ", wanted a whole number");
                    }
                    Double sound = within(key, (double) v, least, most, Units::plain);
                    return sound == null ? null : sound.intValue();
                });
    }

    public SourcedValue<Boolean> mark(String key, Boolean other) {
        return value(
                key,
                other,
                String::valueOf,
                n ->
                        n.value instanceof Boolean b
                                ? b
                                : bad(key, "is " + n.sort() + ", wanted true or false"));
    }

    public SourcedValue<String> text(String key, String other) {
        return value(
                key,
                other,
                s -> "\"" + s + "\"",
                n ->
                        !(n.value instanceof String s)
                                ? bad(key, "is " + n.sort() + ", wanted text")
                                : s.isBlank() ? bad(key, "is empty") : s);
    }

    /** One of these words. */
    public SourcedValue<String> word(String key, String other, List<String> words) {
        SourcedValue<String> said = text(key, other);
        if (said != null
                && said.value() != null
                && !words.contains(said.value())
                && said.at() != null) {
            fault(
                    key,
                    "is \""
                            + said.value()
                            + "\", wanted one of "
                            + String.join(", ", words)
                            + nearest(said.value(), words));
            return new SourcedValue<>(other, null);
        }
        return said;
    }

    /** A list of these words, each at most once. */
    public SourcedValue<List<String>> words(String key, List<String> other, List<String> words) {
        return value(
                key,
                other,
                String::valueOf,
                n -> {
                    if (n.list() == null) {
                        return bad(
                                key,
                                "is "
                                        + n.sort()
                                        + ", wanted a list of "
                                        + String.join(", ", words));
                    }
                    List<String> all = new ArrayList<>();
                    for (Node e : n.list()) {
                        if (!(e.value instanceof String s) || !words.contains(s)) {
                            return bad(
                                    key,
                                    "holds "
                                            + (e.value instanceof String s
                                                    ? "\"" + s + "\""
                                                    : e.sort())
                                            + ", wanted "
                                            + String.join(", ", words));
                        }
                        if (all.contains(s)) {
                            return bad(key, "holds \"" + s + "\" twice");
                        }
                        all.add(s);
                    }
                    return all;
                });
    }

    /** A list of texts that are not empty; the other where there is none. */
    public List<String> texts(String key, List<String> other) {
        return value(
                        key,
                        other,
                        String::valueOf,
                        n -> {
                            if (n.list() == null || n.list().isEmpty()) {
                                return bad(
                                        key,
                                        "is "
                                                + (n.list() == null ? n.sort() : "empty")
                                                + ", wanted a list of texts");
                            }
                            List<String> all = new ArrayList<>();
                            for (Node e : n.list()) {
                                if (!(e.value instanceof String s) || s.isBlank()) {
                                    return bad(key, "holds " + e.sort() + ", wanted texts");
                                }
                                all.add(s);
                            }
                            return all;
                        })
                .value();
    }

    /** A list of whole numbers. */
    public List<Integer> wholes(String key, int least, int most) {
        List<Integer> all = new ArrayList<>();
        known.add(key);
        Node n = entries.get(key);
        for (Node e : n == null || n.list() == null ? List.<Node>of() : n.list()) {
            if (e.value instanceof Long v && v >= least && v <= most) {
                all.add(v.intValue());
            } else {
                fault(
                        key,
                        "holds "
                                + e.sort()
                                + " that is no whole number from "
                                + least
                                + " to "
                                + most);
            }
        }
        return all;
    }

    /** The keys that stand here. */
    public List<String> keys() {
        return List.copyOf(entries.keySet());
    }

    /** Notes for `explain` what came of the key. */
    public void note(String key, String text, SourceLocation from) {
        notes.put(path(key), new SourcedValue<>(text, from));
    }

    private <T> T bad(String key, String what) {
        fault(key, what);
        return null;
    }

    private Double within(
            String key, double v, double least, double most, Function<Double, String> shown) {
        return v < least
                ? bad(key, "is " + shown.apply(v) + ", under the least, " + shown.apply(least))
                : v > most
                        ? bad(key, "is " + shown.apply(v) + ", over the most, " + shown.apply(most))
                        : v;
    }

    private <T> SourcedValue<T> value(
            String key, T other, Function<T, String> shown, Function<Node, T> read) {
        known.add(key);
        Node n = entries.get(key);
        T v = n == null ? null : read.apply(n);
        SourcedValue<T> said =
                v != null
                        ? new SourcedValue<>(v, n.at)
                        : other != null ? new SourcedValue<>(other, null) : null;
        if (said != null) {
            note(key, shown.apply(said.value()), said.at());
        }
        return said;
    }

    /** Complains of the keys that nobody asked for, and names the one that may have been meant. */
    public void end() {
        entries.forEach(
                (key, node) -> {
                    if (!known.contains(key)) {
                        faults.add(
                                new Diagnostic(
                                        node.at,
                                        path(key),
                                        "is not a key here" + near(key, known, Integer.MAX_VALUE)));
                    }
                });
    }

    /**
     * ", did you mean ...?" with the word that takes the fewest changes, or nothing where none is
     * near.
     */
    public static String nearest(String word, Iterable<String> words) {
        return near(word, words, Math.max(2, word.length() / 2) + 1);
    }

    private static String near(String word, Iterable<String> words, int under) {
        String best = null;
        int least = under;
        String lower = word.toLowerCase(Locale.ROOT);
        for (String w : words) {
            boolean begins = word.length() > 1 && (w.startsWith(lower) || lower.startsWith(w));
            int d = begins ? 1 : distance(lower, w);
            if (d < least) {
                least = d;
                best = w;
            }
        }
        return best == null ? "" : ", did you mean " + best + "?";
    }

    /** Levenshtein's distance: letters put in, left out or changed. */
    private static int distance(String a, String b) {
        if (a.length() > 64) {
            return Integer.MAX_VALUE;
        }
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int change = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(change, 1 + Math.min(row[j], row[j - 1]));
            }
        }
        return row[b.length()];
    }
}
