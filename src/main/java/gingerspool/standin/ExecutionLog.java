package gingerspool.standin;

import gingerspool.scenario.RecordWriter;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;

/**
 * What the stand-ins did: the record that experiments are judged by. One line an event, appended,
 * tab-separated: time (Unix, ms), who, what, task, scheduler (number, or -), detail.
 * docs/experiments.md lists the events.
 */
final class ExecutionLog implements Closeable {
    private final RecordWriter out;

    ExecutionLog(Path file) throws IOException {
        out = new RecordWriter(file);
    }

    void write(double at, String who, String what, String task, int scheduler, String detail) {
        out.write(
                "%.3f\t%s\t%s\t%s\t%s\t%s",
                at, who, what, task, scheduler < 0 ? "-" : Integer.toString(scheduler), detail);
    }

    void flush() throws IOException {
        out.flush();
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
