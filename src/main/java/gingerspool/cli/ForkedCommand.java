package gingerspool.cli;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs a command of this program in a virtual machine of its own, with flags that can't be set
 * while one runs. It has this one's input and output, and its flags.
 *
 * <p>Thread: any; blocks until the command has ended.
 */
final class ForkedCommand {
    /**
     * What measures other processes of the same machine compiles once only: the second compiler
     * takes more processor than the load itself in a play of some seconds.
     */
    static final List<String> FLAGS = List.of("-XX:TieredStopAtLevel=1");

    private ForkedCommand() {}

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

    /** Runs it with these arguments and this start of the program; returns its exit code. */
    static int run(List<String> program, List<String> arguments)
            throws IOException, InterruptedException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(ownFlags());
        command.addAll(FLAGS);
        command.addAll(program);
        command.addAll(arguments);
        Process process = new ProcessBuilder(command).inheritIO().start();
        // Whoever ends this process means the command.
        Thread end = new Thread(process::destroy);
        Runtime.getRuntime().addShutdownHook(end);
        try {
            return process.waitFor();
        } finally {
            process.destroy();
            Runtime.getRuntime().removeShutdownHook(end);
        }
    }
}
