package gingerspool.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs an experiment in a virtual machine of its own, with flags that can't be set while one runs.
 * What the caller's machine compiles for itself then takes no processor from the schedulers.
 *
 * <p>Thread: any; blocks until the experiment has ended.
 */
final class ForkedExperiment {
    /**
     * The second compiler takes more processor than the load itself in a play of some seconds, so
     * it is left out.
     */
    static final List<String> FLAGS = List.of("-XX:TieredStopAtLevel=1");

    private ForkedExperiment() {}

    /** Whether this virtual machine was started without the flags. */
    static boolean isNeeded() {
        return isNeeded(ownFlags());
    }

    static boolean isNeeded(List<String> ownFlags) {
        return !ownFlags.containsAll(FLAGS);
    }

    private static List<String> ownFlags() {
        return ManagementFactory.getRuntimeMXBean().getInputArguments();
    }

    /** Runs it with this command line; its output goes there. Returns its exit code. */
    static int run(List<String> arguments, PrintStream to)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(ownFlags());
        command.addAll(FLAGS);
        command.addAll(Run.ownClassPath());
        command.add("experiment");
        command.addAll(arguments);
        Process process =
                new ProcessBuilder(command)
                        .redirectInput(ProcessBuilder.Redirect.INHERIT)
                        .redirectError(ProcessBuilder.Redirect.INHERIT)
                        .start();
        // Whoever ends this process means the experiment.
        Thread end = new Thread(process::destroy);
        Runtime.getRuntime().addShutdownHook(end);
        try {
            process.getInputStream().transferTo(to);
            to.flush();
            return process.waitFor();
        } finally {
            process.destroy();
            Runtime.getRuntime().removeShutdownHook(end);
        }
    }
}
