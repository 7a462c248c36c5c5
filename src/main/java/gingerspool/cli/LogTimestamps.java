package gingerspool.cli;

import gingerspool.logging.AsynchronousLogOutput;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.Charset;
import java.time.LocalDateTime;
import java.time.ZoneOffset;

/**
 * Standard error with the time of day, in UTC, before each line. SLF4J's simple logger would write
 * it by the JDK's date formats, which take a process that starts on a small share of a processor
 * longer than all else that it logs with; it makes them as soon as its settings name a format.
 */
public final class LogTimestamps extends PrintStream {
    private static final int MS_PER_SECOND = 1000;
    private static final int NANOS_PER_MS = 1_000_000;

    LogTimestamps(OutputStream out) {
        super(out, true);
    }

    /** Before the first logger is made; a second time it changes nothing. */
    public static void install() {
        if (!(System.err instanceof LogTimestamps)) {
            System.setErr(new LogTimestamps(System.err));
        }
    }

    /** The same for a program whose threads must not wait for whoever reads standard error. */
    public static void installAsynchronous() {
        if (!(System.err instanceof LogTimestamps)) {
            System.setErr(new LogTimestamps(AsynchronousLogOutput.install()));
        }
    }

    /** Writes the whole line, with its end, at once. */
    @Override
    public void println(String line) {
        String text = time(System.currentTimeMillis()) + ' ' + line + System.lineSeparator();
        byte[] bytes = text.getBytes(Charset.defaultCharset());
        write(bytes, 0, bytes.length);
    }

    @Override
    public void println(Object line) {
        println(String.valueOf(line));
    }

    /** A time of day as 2026-12-02T11:05:09.042. */
    static String time(long unixMs) {
        int nanos = (int) Math.floorMod(unixMs, (long) MS_PER_SECOND) * NANOS_PER_MS;
        LocalDateTime time =
                LocalDateTime.ofEpochSecond(
                        Math.floorDiv(unixMs, (long) MS_PER_SECOND), nanos, ZoneOffset.UTC);
        StringBuilder text = new StringBuilder(24);
        text.append(time.toLocalDate()).append('T');
        append(text, time.getHour(), 2).append(':');
        append(text, time.getMinute(), 2).append(':');
        append(text, time.getSecond(), 2).append('.');
        return append(text, nanos / NANOS_PER_MS, 3).toString();
    }

    private static StringBuilder append(StringBuilder text, int number, int digits) {
        String plain = Integer.toString(number);
        return text.append("0".repeat(digits - plain.length())).append(plain);
    }
}
