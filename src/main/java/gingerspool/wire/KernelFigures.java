package gingerspool.wire;

import org.slf4j.spi.LoggingEventBuilder;

/** Figures of the kernel's files; one that can't be read is NaN and does not appear in a line. */
final class KernelFigures {
    private static final int BASE = 10;

    private KernelFigures() {}

    /** The whole number at this place of a line of fields, counted from 0 at an index. */
    static double field(String line, int start, int index) {
        int from = start;
        for (int i = 0; i < index; i++) {
            int blank = line.indexOf(' ', from);
            if (blank < 0) {
                return Double.NaN;
            }
            from = blank + 1;
        }
        return numberAt(line, from);
    }

    /**
     * The whole number from an index to the next blank, end of line or end of the text. Without the
     * library's methods, which cost several times as much as long as they are not compiled.
     */
    static double numberAt(String text, int from) {
        long number = 0;
        int i = from;
        for (; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == ' ' || c == '\n') {
                break;
            }
            if (c < '0' || c > '9') {
                return Double.NaN;
            }
            number = number * BASE + c - '0';
        }
        return i == from ? Double.NaN : number;
    }

    /** Adds a figure, rounded, if it is known. */
    static void add(LoggingEventBuilder line, String key, double figure) {
        if (!Double.isNaN(figure)) {
            line.addKeyValue(key, Math.round(figure));
        }
    }
}
