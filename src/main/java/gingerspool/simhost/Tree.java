package gingerspool.simhost;

import java.util.List;
import java.util.Map;

/** Looks into maps and lists that came as JSON; what is absent or of another sort gives the fallback. */
final class Tree {
    private Tree() { }

    static Object at(Object tree, String... path) {
        for (String step : path) {
            tree = tree instanceof Map<?, ?> m ? m.get(step) : null;
        }
        return tree;
    }

    static double number(double other, Object tree, String... path) {
        return at(tree, path) instanceof Number n && !Double.isNaN(n.doubleValue()) ? n.doubleValue() : other;
    }

    static String text(String other, Object tree, String... path) {
        return at(tree, path) instanceof String s ? s : other;
    }

    static boolean mark(Object tree, String... path) {
        return Boolean.TRUE.equals(at(tree, path));
    }

    static List<?> list(Object tree, String... path) {
        return at(tree, path) instanceof List<?> l ? l : List.of();
    }
}
