package gingerspool.wire;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes one JSON value as maps, lists, text, numbers and marks. */
public final class Json {
    private static final int DEEPEST = 64;

    /** Up to here a double tells each whole number. */
    private static final double WHOLE_MOST = 1L << 53;

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    public static Object read(byte[] bytes, int from, int to) throws BadMessage {
        try {
            ByteBuffer text = ByteBuffer.wrap(bytes, from, to - from);
            return read(StandardCharsets.UTF_8.newDecoder().decode(text).toString());
        } catch (CharacterCodingException e) {
            throw new BadMessage(400, "not UTF-8");
        }
    }

    public static Object read(String text) throws BadMessage {
        Json json = new Json(text);
        Object value = json.value(0);
        json.space();
        if (json.at < text.length()) {
            throw json.bad("the end");
        }
        return value;
    }

    /** What is no number in JSON (NaN, infinite) is written as null. */
    public static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> m) {
            char before = '{';
            for (Map.Entry<?, ?> e : m.entrySet()) {
                out.append(before);
                quote((String) e.getKey(), out);
                out.append(':');
                write(e.getValue(), out);
                before = ',';
            }
            out.append(before == '{' ? "{}" : "}");
        } else if (value instanceof Iterable<?> l) {
            char before = '[';
            for (Object o : l) {
                write(o, out.append(before));
                before = ',';
            }
            out.append(before == '[' ? "[]" : "]");
        } else if (value instanceof double[] numbers) {
            for (int i = 0; i < numbers.length; i++) {
                write(numbers[i], out.append(i == 0 ? '[' : ','));
            }
            out.append(numbers.length == 0 ? "[]" : "]");
        } else if (value instanceof Number n) {
            write(n.doubleValue(), n, out);
        } else if (value instanceof Boolean || value == null) {
            out.append(value);
        } else {
            quote(value.toString(), out);
        }
    }

    /** Whole numbers are written without a point, as they mostly came. */
    private static void write(double value, Number n, StringBuilder out) {
        if (Math.rint(value) == value && Math.abs(value) < WHOLE_MOST) {
            out.append((long) value);
        } else {
            out.append(Double.isFinite(value) ? n.toString() : "null");
        }
    }

    private static void quote(String text, StringBuilder out) {
        out.append('"');
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c < ' ') {
                out.append("\\u00")
                        .append(Character.forDigit(c >> 4, 16))
                        .append(Character.forDigit(c & 15, 16));
            } else {
                out.append(c == '"' || c == '\\' ? "\\" : "").append(c);
            }
        }
        out.append('"');
    }

    private BadMessage bad(String wanted) {
        return new BadMessage(400, "not JSON: " + wanted + " wanted at character " + at);
    }

    private void space() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }

    /** The next character after white space, or 0 at the end. */
    private char peek() {
        space();
        return at < text.length() ? text.charAt(at) : 0;
    }

    private boolean skip(char c) {
        if (peek() == c) {
            at++;
            return true;
        }
        return false;
    }

    private void want(char c) throws BadMessage {
        if (!skip(c)) {
            throw bad("'" + c + "'");
        }
    }

    private Object value(int depth) throws BadMessage {
        if (depth > DEEPEST) {
            throw bad("less nesting");
        }
        return switch (peek()) {
            case '{' -> object(depth);
            case '[' -> array(depth);
            case '"' -> string();
            case 't' -> word("true", Boolean.TRUE);
            case 'f' -> word("false", Boolean.FALSE);
            case 'n' -> word("null", null);
            default -> number();
        };
    }

    private Object word(String word, Object value) throws BadMessage {
        if (!text.startsWith(word, at)) {
            throw bad(word);
        }
        at += word.length();
        return value;
    }

    private Map<String, Object> object(int depth) throws BadMessage {
        Map<String, Object> map = new HashMap<>();
        want('{');
        if (skip('}')) {
            return map;
        }
        do {
            if (peek() != '"') {
                throw bad("a name");
            }
            String name = string();
            want(':');
            map.put(name, value(depth + 1));
        } while (skip(','));
        want('}');
        return map;
    }

    private List<Object> array(int depth) throws BadMessage {
        List<Object> list = new ArrayList<>();
        want('[');
        if (skip(']')) {
            return list;
        }
        do {
            list.add(value(depth + 1));
        } while (skip(','));
        want(']');
        return list;
    }

    private String string() throws BadMessage {
        int from = ++at;
        StringBuilder out = null;
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '"') {
                String rest = text.substring(from, at++);
                return out == null ? rest : out.append(rest).toString();
            }
            if (c < ' ') {
                throw bad("no control character");
            }
            at++;
            if (c == '\\') {
                out = out == null ? new StringBuilder() : out;
                out.append(text, from, at - 1).append(escaped());
                from = at;
            }
        }
        throw bad("'\"'");
    }

    private char escaped() throws BadMessage {
        char c = at < text.length() ? text.charAt(at++) : 0;
        switch (c) {
            case '"', '\\', '/' -> {
                return c;
            }
            case 'b' -> {
                return '\b';
            }
            case 'f' -> {
                return '\f';
            }
            case 'n' -> {
                return '\n';
            }
            case 'r' -> {
                return '\r';
            }
            case 't' -> {
                return '\t';
            }
            case 'u' -> {
                if (at + 4 <= text.length()) {
                    at += 4;
                    return (char) Message.number(text.substring(at - 4, at), 16);
                }
                throw bad("four digits");
            }
            default -> throw bad("an escape");
        }
    }

    /** Where digits from here on end. */
    private int digits(int i, int to) {
        while (i < to && text.charAt(i) >= '0' && text.charAt(i) <= '9') {
            i++;
        }
        return i;
    }

    /**
     * Whether this part is a number by RFC 8259: sign, whole part without needless zeros, fraction,
     * exponent.
     */
    private boolean isNumber(int from, int to) {
        int i = from < to && text.charAt(from) == '-' ? from + 1 : from;
        int whole = digits(i, to);
        if (whole == i || text.charAt(i) == '0' && whole > i + 1) {
            return false;
        }
        i = whole;
        if (i < to && text.charAt(i) == '.') {
            int fraction = digits(i + 1, to);
            if (fraction == i + 1) {
                return false;
            }
            i = fraction;
        }
        if (i < to && (text.charAt(i) == 'e' || text.charAt(i) == 'E')) {
            i += i + 1 < to && (text.charAt(i + 1) == '+' || text.charAt(i + 1) == '-') ? 2 : 1;
            int exponent = digits(i, to);
            if (exponent == i) {
                return false;
            }
            i = exponent;
        }
        return i == to;
    }

    private Double number() throws BadMessage {
        int from = at;
        while (at < text.length() && "+-.0123456789eE".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        if (!isNumber(from, at)) {
            throw bad("a value");
        }
        Double n = Double.valueOf(text.substring(from, at));
        if (n.isInfinite()) {
            throw bad("a smaller number");
        }
        return n;
    }
}
