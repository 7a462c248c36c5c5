package gingerspool.peers;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A running digest of what some code decided, to the bit, by which a later version is compared with
 * a recorded one. Values count, not the names of types and record components, so that a rename
 * leaves a trace as it was.
 */
public final class DecisionTrace {
    private final MessageDigest digest;
    private int lines;
    private boolean isEnded;

    public DecisionTrace() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Adds one decision: when it was made, what it was, and its values. */
    public void add(double at, String what, Object... values) {
        StringBuilder line = new StringBuilder().append(at).append(' ').append(what);
        for (Object value : values) {
            append(line, value);
        }
        lines++;
        digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void append(StringBuilder line, Object value) {
        if (value instanceof Record record) {
            appendComponents(line, record);
        } else if (value instanceof Enum<?> constant) {
            line.append(' ').append(constant.ordinal());
        } else if (value instanceof Map<?, ?> map) {
            new TreeMap<Object, Object>(map).forEach((k, v) -> append(line, k + "=" + v));
        } else if (value instanceof List<?> list) {
            list.forEach(item -> append(line, item));
        } else if (value instanceof byte[] bytes) {
            line.append(' ').append(HexFormat.of().formatHex(bytes));
        } else {
            line.append(' ').append(value);
        }
    }

    private static void appendComponents(StringBuilder line, Record record) {
        try {
            for (RecordComponent component : record.getClass().getRecordComponents()) {
                append(line, component.getAccessor().invoke(record));
            }
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    public int lines() {
        return lines;
    }

    /** The number of decisions and the digest of all; once only, as it ends this trace. */
    public String end() {
        if (isEnded) {
            throw new IllegalStateException("the trace has ended");
        }
        isEnded = true;
        return lines + " " + HexFormat.of().formatHex(digest.digest());
    }

    /**
     * The recorded traces of this name, by key. With `-Dtraces.record=true` those given are written
     * as the recorded ones first.
     */
    public static Map<String, String> recorded(String name, Map<String, String> now) {
        try {
            if (Boolean.getBoolean("traces.record")) {
                StringBuilder text = new StringBuilder();
                new TreeMap<>(now).forEach((k, v) -> text.append(k + ": " + v + "\n"));
                Files.writeString(Path.of("src/test/resources/traces", name + ".txt"), text);
                return new TreeMap<>(now);
            }
            try (InputStream in =
                    DecisionTrace.class.getResourceAsStream("/traces/" + name + ".txt")) {
                Map<String, String> all = new TreeMap<>();
                new String(in.readAllBytes(), StandardCharsets.UTF_8)
                        .lines()
                        .map(line -> line.split(": "))
                        .forEach(pair -> all.put(pair[0], pair[1]));
                return all;
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
