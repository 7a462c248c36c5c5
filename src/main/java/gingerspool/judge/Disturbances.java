package gingerspool.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What disturbed a play, as its own record tells: pauses of schedulers' processes, pauses of the
 * tool, and spans in which the tool's loop was late. Without a line there is no disturbance.
 */
final class Disturbances {
    private final Map<Integer, Spans> paused = new HashMap<>();

    /** Times at which a scheduler had several processes, any of which may have answered. */
    private final Map<Integer, List<Double>> othersLived = new HashMap<>();

    private final Spans toolPaused = new Spans();
    private final Spans toolLate = new Spans();

    /** A process of this scheduler was paused, or went on; other words are no disturbance. */
    void scheduler(int scheduler, String what, double at) {
        mark(paused.computeIfAbsent(scheduler, s -> new Spans()), what, at);
    }

    /** This scheduler had more than one process at this time, or until then. */
    void othersLived(int scheduler, double at) {
        othersLived.computeIfAbsent(scheduler, s -> new ArrayList<>()).add(at);
    }

    /** The tool was paused, or went on. */
    void tool(String what, double at) {
        mark(toolPaused, what, at);
    }

    /** The tool's loop was late in this span. */
    void toolLate(double from, double until) {
        toolLate.add(from, until);
    }

    private static void mark(Spans spans, String what, double at) {
        if (what.equals("paused")) {
            spans.begins(at);
        } else if (what.equals("continued")) {
            spans.ends(at);
        }
    }

    /**
     * When this scheduler was paused; short times between count as paused. Left out are pauses in
     * which another of its processes lived: the record does not tell which of them answered.
     */
    List<Spans.Span> pausesOf(int scheduler, double gapMs) {
        List<Double> shared = othersLived.getOrDefault(scheduler, List.of());
        return paused.getOrDefault(scheduler, new Spans()).joined(gapMs).stream()
                .filter(pause -> shared.stream().noneMatch(at -> pause.overlaps(at, at)))
                .toList();
    }

    /** When the tool was paused. */
    List<Spans.Span> toolPauses() {
        return toolPaused.joined(0);
    }

    /** When the tool was paused, or its loop late; short times between count as late. */
    List<Spans.Span> toolLate(double gapMs) {
        Spans all = new Spans();
        all.addAll(toolPaused);
        all.addAll(toolLate);
        return all.joined(gapMs);
    }
}
