package gingerspool.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Spans of time in which something stood still, in Unix ms, as they were written down: whole, or by
 * their begins and ends, which may overlap and come in any order. One that has no end lasts.
 */
final class Spans {
    /** From when to when. */
    record Span(double from, double until) {
        boolean overlaps(double begin, double end) {
            return from <= end && until >= begin;
        }
    }

    /** A begin counts 1, an end -1. */
    private record Edge(double at, int step) {}

    private final List<Edge> edges = new ArrayList<>();

    void begins(double at) {
        edges.add(new Edge(at, 1));
    }

    void ends(double at) {
        edges.add(new Edge(at, -1));
    }

    void add(double from, double until) {
        begins(from);
        ends(Math.max(from, until));
    }

    void addAll(Spans others) {
        edges.addAll(others.edges);
    }

    /** The spans in order; those that are apart by so many ms or less count as one. */
    List<Span> joined(double gapMs) {
        List<Edge> ordered = new ArrayList<>(edges);
        ordered.sort(Comparator.comparingDouble(Edge::at).thenComparing(e -> -e.step));
        List<Span> joined = new ArrayList<>();
        int open = 0;
        double from = 0;
        for (Edge e : ordered) {
            from = open == 0 ? e.at : from;
            open += e.step;
            if (open == 0) {
                join(joined, new Span(from, e.at), gapMs);
            }
            // An end whose begin was not written down tells nothing.
            open = Math.max(0, open);
        }
        if (open > 0) {
            join(joined, new Span(from, Double.POSITIVE_INFINITY), gapMs);
        }
        return joined;
    }

    /** How much of a time these spans, which don't overlap, take up, in ms. */
    static double within(List<Span> spans, double from, double until) {
        double sum = 0;
        for (Span s : spans) {
            sum += Math.max(0, Math.min(s.until, until) - Math.max(s.from, from));
        }
        return sum;
    }

    private static void join(List<Span> to, Span next, double gapMs) {
        int last = to.size() - 1;
        if (last >= 0 && next.from <= to.get(last).until + gapMs) {
            to.set(last, new Span(to.get(last).from, Math.max(to.get(last).until, next.until)));
        } else {
            to.add(next);
        }
    }
}
