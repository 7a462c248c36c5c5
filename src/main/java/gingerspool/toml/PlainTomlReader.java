package gingerspool.toml;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the plain part of TOML that programs write: tables of one name, and keys with texts without
 * escapes, numbers, true, false, or lists of these, each on one line. Whatever else a file holds,
 * faults above all, is left to the library: it knows the whole language, but costs a process that
 * starts on a small share of a processor some tenths of a second.
 */
final class PlainTomlReader {
    private static final String KEY_CHARACTERS = "-_";
    private static final int LONGEST_WHOLE = 15;

    /** Thrown within this class only: the text is not of the plain sort. */
    private static final class NotPlainException extends Exception {
        private static final long serialVersionUID = 1;

        NotPlainException() {
            super("not plain", null, false, false);
        }
    }

    private final Path file;
    private final Map<String, Node> root = new LinkedHashMap<>();
    private String line;
    private int number;
    private int at;

    private PlainTomlReader(Path file) {
        this.file = file;
    }

    /** The table of a whole file; empty where the text is not of the plain sort. */
    static Optional<Node> read(Path file, String text) {
        try {
            PlainTomlReader reader = new PlainTomlReader(file);
            reader.readLines(text);
            return Optional.of(new Node(new SourceLocation(file, 0), reader.root));
        } catch (NotPlainException e) {
            return Optional.empty();
        }
    }

    private void readLines(String text) throws NotPlainException {
        Map<String, Node> table = root;
        int start = 0;
        while (start < text.length()) {
            int end = text.indexOf('\n', start);
            end = end < 0 ? text.length() : end;
            line = text.substring(start, end);
            number++;
            at = 0;
            start = end + 1;
            skipSpace();
            if (at == line.length() || line.charAt(at) == '#') {
                requireNoControl();
            } else if (line.charAt(at) == '[') {
                table = header();
            } else {
                keyAndValue(table);
            }
        }
    }

    private Map<String, Node> header() throws NotPlainException {
        at++;
        skipSpace();
        String name = key();
        skipSpace();
        require(']');
        requireEnd();
        Map<String, Node> table = new LinkedHashMap<>();
        put(root, name, table);
        return table;
    }

    private void keyAndValue(Map<String, Node> table) throws NotPlainException {
        String key = key();
        skipSpace();
        require('=');
        skipSpace();
        Object value = peek() == '[' ? list() : plainValue();
        requireEnd();
        put(table, key, value);
    }

    private void put(Map<String, Node> table, String key, Object value) throws NotPlainException {
        if (table.put(key, new Node(here(), value)) != null) {
            throw new NotPlainException();
        }
    }

    private SourceLocation here() {
        return new SourceLocation(file, number);
    }

    private String key() throws NotPlainException {
        int start = at;
        while (at < line.length() && isKeyCharacter(line.charAt(at))) {
            at++;
        }
        if (at == start) {
            throw new NotPlainException();
        }
        return line.substring(start, at);
    }

    private static boolean isKeyCharacter(char c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || isDigit(c)
                || KEY_CHARACTERS.indexOf(c) >= 0;
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    private List<Node> list() throws NotPlainException {
        at++;
        List<Node> entries = new ArrayList<>();
        skipSpace();
        while (peek() != ']') {
            entries.add(new Node(here(), plainValue()));
            skipSpace();
            if (peek() == ',') {
                at++;
                skipSpace();
            } else if (peek() != ']') {
                throw new NotPlainException();
            }
        }
        at++;
        return entries;
    }

    private Object plainValue() throws NotPlainException {
        char first = peek();
        if (first == '"') {
            return text();
        }
        int start = at;
        while (at < line.length() && " \t,]#\r".indexOf(line.charAt(at)) < 0) {
            at++;
        }
        String word = line.substring(start, at);
        if (word.equals("true") || word.equals("false")) {
            return word.equals("true");
        }
        return numberOf(word);
    }

    private String text() throws NotPlainException {
        at++;
        int start = at;
        while (peek() != '"') {
            char c = line.charAt(at);
            if (c == '\\' || c < ' ' || c == 0x7f) {
                throw new NotPlainException();
            }
            at++;
        }
        String text = line.substring(start, at);
        at++;
        if (text.isEmpty() && at < line.length() && line.charAt(at) == '"') {
            throw new NotPlainException();
        }
        return text;
    }

    /** Digits, with a sign and a fraction at the most, and without needless zeros. */
    private static Object numberOf(String word) throws NotPlainException {
        int digits = word.startsWith("-") ? 1 : 0;
        int point = word.indexOf('.');
        int wholeEnd = point < 0 ? word.length() : point;
        boolean hasNeedlessZero = wholeEnd - digits > 1 && word.charAt(digits) == '0';
        if (wholeEnd == digits || wholeEnd - digits > LONGEST_WHOLE || hasNeedlessZero) {
            throw new NotPlainException();
        }
        for (int i = digits; i < word.length(); i++) {
            if (i != point && !isDigit(word.charAt(i))) {
                throw new NotPlainException();
            }
        }
        if (point == word.length() - 1) {
            throw new NotPlainException();
        }
        return point < 0 ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
    }

    private char peek() throws NotPlainException {
        if (at >= line.length()) {
            throw new NotPlainException();
        }
        return line.charAt(at);
    }

    private void require(char wanted) throws NotPlainException {
        if (peek() != wanted) {
            throw new NotPlainException();
        }
        at++;
    }

    private void skipSpace() {
        while (at < line.length() && (line.charAt(at) == ' ' || line.charAt(at) == '\t')) {
            at++;
        }
    }

    private void requireEnd() throws NotPlainException {
        skipSpace();
        if (at < line.length() && line.charAt(at) != '#') {
            throw new NotPlainException();
        }
        requireNoControl();
    }

    /** A comment may hold any text, but no control characters. */
    private void requireNoControl() throws NotPlainException {
        for (int i = at; i < line.length(); i++) {
            char c = line.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7f) {
                throw new NotPlainException();
            }
        }
    }
}
