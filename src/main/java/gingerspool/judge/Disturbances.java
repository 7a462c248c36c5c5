package gingerspool.judge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What disturbed a play, as its own record tells: pauses of schedulers' processes, pauses of the
 * tool, and spans in which the tool's loop was late. Without a line there is no disturbance.
 */
final class Disturbances {
    private final Map<Integer, Spans> paused = new HashMap<>();
    private final Spans toolPaused = new Spans();
    private final Spans toolLate = new Spans();

    /** A process of this scheduler was paused, or went on; other words are no disturbance. */
    void scheduler(int scheduler, String what, double at) {
        mark(paused.computeIfAbsent(scheduler, s -> new Spans()), what, at);
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

    /** When a process of this scheduler was paused; short times between count as paused. */
    List<Spans.Span> pausesOf(int scheduler, double gapMs) {
        return paused.getOrDefault(scheduler, new Spans()).joined(gapMs);
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
