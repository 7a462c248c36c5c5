package gingerspool.wire;

import gingerspool.dispatch.Report;
import java.util.Arrays;
import java.util.Map;

/** Load reports as they come on the wire, under the protocol's names or the settings'. */
public final class LoadReport {
    private final int x0;
    private final int x1;

    /** The settings say what the two values mean that have no name of their own. */
    public LoadReport(String meaningOfX0, String meaningOfX1) {
        x0 = meaning(meaningOfX0);
        x1 = meaning(meaningOfX1);
    }

    private static int meaning(String text) {
        return switch (text) {
            case "free slots" -> Report.FREE_SLOTS;
            case "free memory" -> Report.FREE_MEMORY;
            default -> -1;
        };
    }

    /** The place of this value in a report, or -1. */
    public int place(String name) {
        return switch (name) {
            case "inflight", "concurrent" -> Report.IN_FLIGHT;
            case "queue", "depth" -> Report.QUEUE;
            case "util", "load_share" -> Report.UTILISATION;
            case "qps", "tps" -> Report.RATE;
            case "eps", "err_ps" -> Report.ERRORS;
            case "x0" -> x0;
            case "x1" -> x1;
            default -> -1;
        };
    }

    /** From an object, name to value; null where there is none. */
    public double[] read(Object load) {
        if (!(load instanceof Map<?, ?> values)) {
            return null;
        }
        double[] report = blank();
        values.forEach(
                (name, value) ->
                        put(
                                report,
                                String.valueOf(name),
                                value instanceof Number n ? n.doubleValue() : Double.NaN));
        return report;
    }

    /** From a header, "TEXT name=value, name=value"; null where there is none or another form. */
    public double[] read(String header) {
        if (header == null || !header.startsWith("TEXT ")) {
            return null;
        }
        double[] report = blank();
        for (String pair : header.substring(5).split(",")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                put(
                        report,
                        pair.substring(0, equals).strip(),
                        Facts.number(pair.substring(equals + 1)));
            }
        }
        return report;
    }

    private static double[] blank() {
        double[] report = new double[Report.SIZE];
        Arrays.fill(report, Double.NaN);
        return report;
    }

    private void put(double[] report, String name, double value) {
        int place = place(name);
        // Guards the module against absurd values: one that is no finite number counts as not told.
        if (place >= 0) {
            report[place] = Double.isFinite(value) ? value : Double.NaN;
        }
    }
}
