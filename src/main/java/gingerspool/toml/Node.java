package gingerspool.toml;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * A value of an operator's file with the place where it stands. The value is a Map of nodes by
 * name, a List of nodes, text, a whole number (Long), a number (Double), a mark (Boolean), or a
 * date that nothing here wants.
 */
public final class Node {
    public final SourceLocation at;
    public final Object value;

    Node(SourceLocation at, Object value) {
        this.at = at;
        this.value = value;
    }

    /** The table of a parsed file; positions are TOML's, from line 1. */
    public static Node of(TomlTable table, SourceLocation at) {
        Map<String, Node> entries = new LinkedHashMap<>();
        for (String name : table.keySet()) {
            List<String> key = List.of(name);
            entries.put(name, of(table.get(key), place(at, table.inputPositionOf(key))));
        }
        return new Node(at, entries);
    }

    private static Node of(Object value, SourceLocation at) {
        if (value instanceof TomlTable t) {
            return of(t, at);
        }
        if (value instanceof TomlArray a) {
            List<Node> entries = new ArrayList<>();
            for (int i = 0; i < a.size(); i++) {
                entries.add(of(a.get(i), place(at, a.inputPositionOf(i))));
            }
            return new Node(at, entries);
        }
        return new Node(at, value);
    }

    private static SourceLocation place(SourceLocation other, TomlPosition position) {
        return position == null ? other : new SourceLocation(other.file(), position.line());
    }

    /** The entries of a table, or null where this is none. */
    @SuppressWarnings("unchecked")
    public Map<String, Node> table() {
        return value instanceof Map ? (Map<String, Node>) value : null;
    }

    /** The entries of a list, or null where this is none. */
    @SuppressWarnings("unchecked")
    public List<Node> list() {
        return value instanceof List ? (List<Node>) value : null;
    }

    /** What sort of value it is, in words. */
    public String sort() {
        return value instanceof Map
                ? "a table"
                : value instanceof List
                        ? "a list"
                        : value instanceof String
                                ? "text"
                                : value instanceof Long
                                        ? "a whole number"
                                        : value instanceof Double
                                                ? "a number"
                                                : value instanceof Boolean
                                                        ? "true or false"
                                                        : "a date";
    }
}
