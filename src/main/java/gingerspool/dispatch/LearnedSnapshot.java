package gingerspool.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a Dispatcher has learned, on its way from one process to the next: each field passes through
 * it once, under its name. One to tell notes what passes; one to take puts what was told in its
 * place, where that has the same size and was learned in the same sense. What is of workers goes by
 * their names. No decisions here.
 */
public final class LearnedSnapshot {
    private final Map<String, Object> fields;
    private final boolean restoring;

    /** Whether what passes now was learned in the sense that it has here. */
    private boolean basisMatches = true;

    /** The parts that were not taken, since they mean something else here or were not told. */
    private final List<String> resetParts = new ArrayList<>();

    /** Where each worker told of stands here, -1 for nowhere. */
    private int[] localIndexes = new int[0];

    private LearnedSnapshot(Map<String, Object> fields, boolean taken) {
        this.fields = fields;
        this.restoring = taken;
    }

    /** One that notes what passes. */
    static LearnedSnapshot writer() {
        return new LearnedSnapshot(new LinkedHashMap<>(), false);
    }

    /** One that gives back what another noted: names with numbers and lists of them. */
    static LearnedSnapshot reader(Map<?, ?> told) {
        Map<String, Object> fields = new LinkedHashMap<>();
        told.forEach((name, value) -> fields.put(String.valueOf(name), value));
        return new LearnedSnapshot(fields, true);
    }

    List<String> afresh() {
        return resetParts;
    }

    Map<String, Object> fields() {
        return fields;
    }

    /** What passes from here on means the same only where this text is the same. */
    void basis(String part, String text) {
        basisMatches = !restoring || text.equals(fields.get("sense." + part));
        if (!basisMatches) {
            resetParts.add(part);
        }
        fields.putIfAbsent("sense." + part, text);
    }

    /** What passes from here on means the same everywhere. */
    void clearBasis() {
        basisMatches = true;
    }

    /** The tags of the workers that what is told by worker is told of, in its order. */
    void workers(int[] tags, int count) {
        double[] told = new double[count];
        Arrays.setAll(told, w -> tags[w]);
        if (!restoring) {
            fields.put("workers", told);
        } else if (fields.get("workers") instanceof List<?> l) {
            localIndexes = l.stream().mapToInt(t -> localIndex(told, t)).toArray();
        }
    }

    private static int localIndex(double[] tags, Object tag) {
        for (int w = 0; w < tags.length; w++) {
            if (tag instanceof Number n && n.doubleValue() == tags[w]) {
                return w;
            }
        }
        return -1;
    }

    /** What has no end is told as the largest number, since JSON has no word for it. */
    private static double encode(double v) {
        return Double.isInfinite(v) ? Math.copySign(Double.MAX_VALUE, v) : v;
    }

    private static double decode(Object told, double other) {
        if (told == null) {
            return Double.NaN;
        }
        double v = told instanceof Number n ? n.doubleValue() : other;
        return Math.abs(v) == Double.MAX_VALUE ? Math.copySign(Double.POSITIVE_INFINITY, v) : v;
    }

    double number(String name, double v) {
        if (restoring) {
            return basisMatches && fields.containsKey(name) ? decode(fields.get(name), v) : v;
        }
        fields.put(name, encode(v));
        return v;
    }

    boolean flag(String name, boolean v) {
        return number(name, v ? 1 : 0) == 1;
    }

    void numbers(String name, double[] v) {
        if (!restoring) {
            fields.put(name, Arrays.stream(v).map(LearnedSnapshot::encode).toArray());
        } else if (basisMatches && fields.get(name) instanceof List<?> l && l.size() == v.length) {
            for (int i = 0; i < v.length; i++) {
                v[i] = decode(l.get(i), v[i]);
            }
        }
    }

    /** A number of each worker. */
    void perWorker(String name, double[] v, int count) {
        if (!restoring) {
            fields.put(name, Arrays.stream(v, 0, count).map(LearnedSnapshot::encode).toArray());
        } else if (basisMatches
                && fields.get(name) instanceof List<?> l
                && l.size() == localIndexes.length) {
            for (int i = 0; i < localIndexes.length; i++) {
                int w = localIndexes[i];
                if (w >= 0) {
                    v[w] = decode(l.get(i), v[w]);
                }
            }
        }
    }

    /** A row of each worker. */
    void rowPerWorker(String name, double[][] v, int count) {
        for (int i = 0; i < (restoring ? localIndexes.length : count); i++) {
            int w = restoring ? localIndexes[i] : i;
            if (w >= 0) {
                numbers(name + "." + i, v[w]);
            }
        }
    }

    /** A table of each worker, row by row, told only where something was counted. */
    void tablePerWorker(String name, double[][][] v, int count) {
        for (int i = 0; i < (restoring ? localIndexes.length : count); i++) {
            int w = restoring ? localIndexes[i] : i;
            for (int j = 0; w >= 0 && j < v[w].length; j++) {
                if (restoring || Workers.sum(v[w][j]) > 0) {
                    numbers(name + "." + i + "." + j, v[w][j]);
                }
            }
        }
    }
}
