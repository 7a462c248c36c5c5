package gingerspool.wire;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Marker;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;
import org.slf4j.event.LoggingEvent;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.spi.LoggingEventAware;

/** Keeps the lines that are logged by SLF4J's fluent form. */
final class RecordingLogger extends LegacyAbstractLogger implements LoggingEventAware {
    private static final long serialVersionUID = 1;

    /** An event with its fields. */
    record Line(String event, Map<String, Object> fields) {}

    private final transient List<Line> lines = new ArrayList<>();

    List<Line> lines() {
        return lines;
    }

    /** The lines of one event. */
    List<Line> lines(String event) {
        return lines.stream().filter(line -> line.event().equals(event)).toList();
    }

    @Override
    public void log(LoggingEvent event) {
        Map<String, Object> fields = new HashMap<>();
        if (event.getKeyValuePairs() != null) {
            for (KeyValuePair pair : event.getKeyValuePairs()) {
                fields.put(pair.key, pair.value);
            }
        }
        lines.add(new Line(event.getMessage(), fields));
    }

    @Override
    protected void handleNormalizedLoggingCall(
            Level level, Marker marker, String message, Object[] arguments, Throwable cause) {
        lines.add(new Line(message, Map.of()));
    }

    @Override
    protected String getFullyQualifiedCallerName() {
        return null;
    }

    @Override
    public boolean isTraceEnabled() {
        return true;
    }

    @Override
    public boolean isDebugEnabled() {
        return true;
    }

    @Override
    public boolean isInfoEnabled() {
        return true;
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }
}
