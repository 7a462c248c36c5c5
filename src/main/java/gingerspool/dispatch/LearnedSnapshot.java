package gingerspool.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A Dispatcher's estimates as named fields, for the transfer from one process to the next. Every
 * field is passed through the same method once under its name: a writer records the value, a reader
 * replaces it by the recorded one if that has the same size and was learned on the same basis (see
 * basis()). Values of workers are matched by the tags of their names. Makes no decisions.
 */
public final class LearnedSnapshot {
    private final Map<String, Object> fields;
    private final boolean restoring;

    /** Whether the fields that follow were learned on the basis that holds here. */
    private boolean basisMatches = true;

    /** Parts that were not restored: their basis differs or is missing. */
    private final List<String> resetParts = new ArrayList<>();

    /** Local index of each recorded worker; -1: unknown here. */
    private int[] localIndexes = new int[0];

    private LearnedSnapshot(Map<String, Object> fields, boolean restoring) {
        this.fields = fields;
        this.restoring = restoring;
    }

    /** Creates a snapshot that records the values passed. */
    static LearnedSnapshot writer() {
        return new LearnedSnapshot(new LinkedHashMap<>(), false);
    }

    /** Creates a snapshot that restores recorded fields: names with numbers or lists of numbers. */
    static LearnedSnapshot reader(Map<?, ?> recorded) {
        Map<String, Object> fields = new LinkedHashMap<>();
        recorded.forEach((name, value) -> fields.put(String.valueOf(name), value));
        return new LearnedSnapshot(fields, true);
    }

    List<String> resetParts() {
        return resetParts;
    }

    Map<String, Object> fields() {
        return fields;
    }

    /** Starts a part that is restored only if it was recorded with the same basis text. */
    void basis(String part, String text) {
        basisMatches = !restoring || text.equals(fields.get("sense." + part));
        if (!basisMatches) {
            resetParts.add(part);
        }
        fields.putIfAbsent("sense." + part, text);
    }

    /** Ends the last part: fields that follow are valid on any basis. */
    void clearBasis() {
        basisMatches = true;
    }

    /** Passes the tags of the workers; values by worker are recorded in their order. */
    void workers(int[] tags, int count) {
        double[] tagValues = new double[count];
        Arrays.setAll(tagValues, w -> tags[w]);
        if (!restoring) {
            fields.put("workers", tagValues);
        } else if (fields.get("workers") instanceof List<?> l) {
            localIndexes = l.stream().mapToInt(t -> localIndex(tagValues, t)).toArray();
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

    /** Encodes infinity as the largest number, since JSON cannot represent it. */
    private static double encode(double v) {
        return Double.isInfinite(v) ? Math.copySign(Double.MAX_VALUE, v) : v;
    }

    private static double decode(Object recorded, double fallback) {
        if (recorded == null) {
            return Double.NaN;
        }
        double v = recorded instanceof Number n ? n.doubleValue() : fallback;
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

    /** Passes one number per worker. */
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

    /** Passes one row per worker. */
    void rowPerWorker(String name, double[][] v, int count) {
        for (int i = 0; i < (restoring ? localIndexes.length : count); i++) {
            int w = restoring ? localIndexes[i] : i;
            if (w >= 0) {
                numbers(name + "." + i, v[w]);
            }
        }
    }

    /** Passes one table per worker, row by row; rows without counts are not recorded. */
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
