package gingerspool.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a Dispatcher has learned, on its way from one process to the next: each field passes through it once,
 * under its name. One to tell notes what passes; one to take puts what was told in its place, where that has
 * the same size. No decisions here.
 */
public final class Memory {
    private final Map<String, Object> fields;
    private final boolean taken;

    private Memory(Map<String, Object> fields, boolean taken) {
        this.fields = fields;
        this.taken = taken;
    }

    /** One that notes what passes. */
    static Memory toTell() {
        return new Memory(new LinkedHashMap<>(), false);
    }

    /** One that gives back what another noted: names with numbers and lists of them. */
    static Memory toTake(Map<?, ?> told) {
        Map<String, Object> fields = new LinkedHashMap<>();
        told.forEach((name, value) -> fields.put(String.valueOf(name), value));
        return new Memory(fields, true);
    }

    Map<String, Object> fields() {
        return fields;
    }

    /** What has no end is told as the largest number, since JSON has no word for it. */
    private static double told(double v) {
        return Double.isInfinite(v) ? Math.copySign(Double.MAX_VALUE, v) : v;
    }

    private static double heard(Object told, double other) {
        if (told == null) {
            return Double.NaN;
        }
        double v = told instanceof Number n ? n.doubleValue() : other;
        return Math.abs(v) == Double.MAX_VALUE ? Math.copySign(Double.POSITIVE_INFINITY, v) : v;
    }

    double number(String name, double v) {
        if (taken) {
            return fields.containsKey(name) ? heard(fields.get(name), v) : v;
        }
        fields.put(name, told(v));
        return v;
    }

    boolean mark(String name, boolean v) {
        return number(name, v ? 1 : 0) == 1;
    }

    /** The first entries of this array. */
    void numbers(String name, double[] v, int size) {
        if (!taken) {
            double[] out = new double[size];
            for (int i = 0; i < size; i++) {
                out[i] = told(v[i]);
            }
            fields.put(name, out);
        } else if (fields.get(name) instanceof List<?> l && l.size() == size) {
            for (int i = 0; i < size; i++) {
                v[i] = heard(l.get(i), v[i]);
            }
        }
    }

    void numbers(String name, double[] v) {
        numbers(name, v, v.length);
    }

    void rows(String name, double[][] v, int size) {
        for (int i = 0; i < size; i++) {
            numbers(name + "." + i, v[i]);
        }
    }

    /** Row by row of each, told only where something was counted. */
    void tables(String name, double[][][] v, int size) {
        for (int i = 0; i < size; i++) {
            for (int j = 0; j < v[i].length; j++) {
                if (taken || Workers.sum(v[i][j]) > 0) {
                    numbers(name + "." + i + "." + j, v[i][j]);
                }
            }
        }
    }
}
