package gingerspool.wire;

import java.util.Map;

/**
 * Looks into maps and lists that came as JSON; what is absent or of another sort gives the
 * fallback.
 */
public final class JsonTree {
    private JsonTree() {}

    public static Object at(Object tree, String... path) {
        for (String step : path) {
            tree = tree instanceof Map<?, ?> m ? m.get(step) : null;
        }
        return tree;
    }

    public static double number(double other, Object tree, String... path) {
        return at(tree, path) instanceof Number n && !Double.isNaN(n.doubleValue())
                ? n.doubleValue()
                : other;
    }

    public static String text(String other, Object tree, String... path) {
        return at(tree, path) instanceof String s ? s : other;
    }

    public static boolean mark(Object tree, String... path) {
        return Boolean.TRUE.equals(at(tree, path));
    }
}
