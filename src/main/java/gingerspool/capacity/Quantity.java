package gingerspool.capacity;

import java.util.Locale;

/** Numbers with their units as people read them, with three figures that count. */
final class Quantity {
    private static final String[] PREFIXES = {"", "k", "M", "G", "T", "P"};
    private static final String[] SPANS = {"us", "ms", "s", "ks", "Ms"};
    private static final double STEP = 1000;
    private static final double MICROS = 1e6;
    private static final int DECIMALS_MOST = 9;

    private Quantity() {}

    /**
     * A value in this unit. Microseconds become the span that suits, microseconds of processor time
     * a second become cores, and any other unit gets a prefix; a unit of "1" is none.
     */
    static String text(double value, String unit) {
        if (unit.equals("us/s")) {
            return digits(value / MICROS) + " cores";
        }
        String[] names = unit.equals("us") ? SPANS : PREFIXES;
        double size = value;
        int i = 0;
        while (Math.abs(size) >= STEP && i < names.length - 1) {
            size /= STEP;
            i++;
        }
        String plain = unit.startsWith("1") ? unit.substring(1) : unit;
        String name = unit.equals("us") ? names[i] : names[i] + plain;
        return name.isEmpty() ? digits(size) : digits(size) + " " + name;
    }

    private static String digits(double value) {
        double size = Math.abs(value);
        if (size == 0) {
            return "0";
        }
        int decimals = 2 - (int) Math.floor(Math.log10(size));
        return String.format(
                Locale.ROOT, "%." + Math.min(DECIMALS_MOST, Math.max(0, decimals)) + "f", value);
    }
}
