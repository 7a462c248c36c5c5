package gingerspool.experiment;

import gingerspool.scenario.Scenario;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;

/**
 * What a scenario has happen to the machine that it is played on: the tool itself stands still, the
 * disk is busy. Each begin and end is written down.
 *
 * <p>Thread: any; a fault blocks its caller until it is over.
 */
final class MachineFaults implements Closeable {
    static final String TOOL_PAUSED = "tool-paused";
    static final String DISK_SLOW = "disk-slow";

    /** The faults that befall the machine. */
    static final Set<String> KINDS = Set.of(TOOL_PAUSED, DISK_SLOW);

    private final FaultRecord record;
    private final DiskLoad disk;

    /** Null where the scenario has no pause of the tool. */
    private final ToolPause toolPause;

    /** The disk is the one of this folder. */
    MachineFaults(Scenario scenario, Path folder, FaultRecord record) throws IOException {
        this.record = record;
        disk = new DiskLoad(folder);
        boolean pauses = scenario.faults.stream().anyMatch(f -> f.what.equals(TOOL_PAUSED));
        toolPause = pauses ? new ToolPause() : null;
    }

    /** Plays one fault of these kinds, which is due now. */
    void play(Scenario.Fault f) throws IOException, InterruptedException {
        if (f.what.equals(TOOL_PAUSED)) {
            ToolPause.Span span = toolPause.pause(f.length);
            record.machineAt("tool", "paused", span.fromMs());
            record.machineAt("tool", "continued", span.untilMs());
        } else {
            record.machineAt("disk", "busy", record.now());
            disk.run((long) f.length);
            record.machineAt("disk", "free", record.now());
        }
    }

    @Override
    public void close() throws IOException {
        if (toolPause != null) {
            toolPause.close();
        }
    }
}
