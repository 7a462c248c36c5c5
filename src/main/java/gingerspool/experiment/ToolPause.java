package gingerspool.experiment;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * Pauses this very process. A child that was started beforehand stops it, waits and has it go on,
 * also when the child itself is told to end meanwhile. The child ends when this process does.
 *
 * <p>Thread: any; a pause blocks its caller until it is over.
 */
final class ToolPause implements Closeable {
    /** Reads a line with seconds for each pause; answers with the Unix ms before and after it. */
    private static final String CHILD =
            "trap 'kill -CONT \"$0\"; exit' INT TERM HUP\n"
                    + "while read -r seconds; do\n"
                    + "  before=$(date +%s%3N)\n"
                    + "  kill -STOP \"$0\"\n"
                    + "  sleep \"$seconds\"\n"
                    + "  kill -CONT \"$0\"\n"
                    + "  echo \"$before $(date +%s%3N)\"\n"
                    + "done\n";

    /** From when to when this process was paused, in Unix ms. */
    record Span(double fromMs, double untilMs) {}

    private final Process child;
    private final OutputStream orders;
    private final BufferedReader reports;

    /** For this process. */
    ToolPause() throws IOException {
        this(ProcessHandle.current().pid());
    }

    /** For another one; for tests. */
    ToolPause(long process) throws IOException {
        String own = Long.toString(process);
        child =
                new ProcessBuilder(List.of("sh", "-c", CHILD, own))
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        orders = child.getOutputStream();
        reports =
                new BufferedReader(
                        new InputStreamReader(child.getInputStream(), StandardCharsets.US_ASCII));
    }

    /** Pauses this process for so long and tells from when to when it was. */
    synchronized Span pause(double forMs) throws IOException {
        String order = String.format(Locale.ROOT, "%.3f%n", forMs / 1000);
        orders.write(order.getBytes(StandardCharsets.US_ASCII));
        orders.flush();
        String report = reports.readLine();
        if (report == null) {
            throw new IOException("the child that pauses the tool has ended");
        }
        String[] times = report.split(" ");
        return new Span(Double.parseDouble(times[0]), Double.parseDouble(times[1]));
    }

    /** Ends the child, once a pause that it is in is over. */
    @Override
    public void close() throws IOException {
        orders.close();
    }
}
