package gingerspool.wire;

import org.slf4j.spi.LoggingEventBuilder;

/** Figures of the kernel's files; one that can't be read is NaN and does not appear in a line. */
final class KernelFigures {
    private KernelFigures() {}

    /** The whole number at this place, counted from 0. */
    static double at(String[] fields, int place) {
        return place < fields.length ? parse(fields[place]) : Double.NaN;
    }

    static double parse(String digits) {
        try {
            return Long.parseLong(digits);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    /** Adds a figure, rounded, if it is known. */
    static void add(LoggingEventBuilder line, String key, double figure) {
        if (!Double.isNaN(figure)) {
            line.addKeyValue(key, Math.round(figure));
        }
    }
}
