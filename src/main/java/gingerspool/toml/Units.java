package gingerspool.toml;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Numbers with units, as in "250ms" and "64KiB". */
public final class Units {
    /** Of numbers with a fraction. */
    private static final int DECIMALS = 6;

    private static final Pattern FORM =
            Pattern.compile("([0-9]{1,12}(?:\\.[0-9]{1,9})?) ?([A-Za-z]{1,3})");

    /** Milliseconds. */
    private static final Map<String, Double> SPANS =
            Map.of("us", 1e-3, "ms", 1.0, "s", 1e3, "min", 6e4, "h", 3.6e6, "d", 8.64e7);

    /** Bytes. */
    private static final Map<String, Double> SIZES =
            Map.of(
                    "B",
                    1.0,
                    "kB",
                    1e3,
                    "MB",
                    1e6,
                    "GB",
                    1e9,
                    "KiB",
                    1024.0,
                    "MiB",
                    1048576.0,
                    "GiB",
                    1073741824.0);

    private Units() {}

    /** Milliseconds, or NaN where the text is no span of time. */
    public static double span(String text) {
        return read(text, SPANS);
    }

    /** Bytes, or NaN where the text is no size. */
    public static double size(String text) {
        return read(text, SIZES);
    }

    private static double read(String text, Map<String, Double> units) {
        Matcher m = FORM.matcher(text);
        return m.matches() && units.containsKey(m.group(2))
                ? Double.parseDouble(m.group(1)) * units.get(m.group(2))
                : Double.NaN;
    }

    /** A span in the largest unit that writes it short. */
    public static String text(double ms) {
        if (Double.isInfinite(ms)) {
            return "no end";
        }
        return ms >= 60_000 && ms % 60_000 == 0
                ? plain(ms / 60_000) + "min"
                : ms >= 1000 && ms % 100 == 0 ? plain(ms / 1000) + "s" : plain(ms) + "ms";
    }

    /** A number without an empty fraction. */
    public static String plain(double n) {
        if (!Double.isFinite(n)) {
            return String.valueOf(n);
        }
        return n == Math.rint(n) && Math.abs(n) < 1e15
                ? Long.toString((long) n)
                : BigDecimal.valueOf(n)
                        .setScale(DECIMALS, RoundingMode.HALF_UP)
                        .stripTrailingZeros()
                        .toPlainString();
    }
}
