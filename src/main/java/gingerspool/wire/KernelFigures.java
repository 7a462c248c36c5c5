package gingerspool.wire;

import org.slf4j.spi.LoggingEventBuilder;

/**
 * Parses figures from the kernel's files. A figure that can't be read is NaN and is left out of log
 * lines.
 */
final class KernelFigures {
    private static final int BASE = 10;

    private KernelFigures() {}

    /** The integer in a field of a line; fields are counted from 0, beginning at {@code start}. */
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
     * The integer from an index to the next blank, end of line or end of the text. Parsed by hand,
     * because the library's methods cost several times as much until they are compiled.
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

    /** Adds a figure to a log line, rounded, if it is known. */
    static void addIfKnown(LoggingEventBuilder line, String key, double figure) {
        if (!Double.isNaN(figure)) {
            line.addKeyValue(key, Math.round(figure));
        }
    }
}
