package gingerspool;

import gingerspool.cli.Commands;
import gingerspool.cli.LogTimestamps;
import gingerspool.cli.NodeProgram;
import gingerspool.daemon.Daemon;
import gingerspool.simhost.SimHost;

/** Picks the subcommand. Those that a platform starts go past the command line's library. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        if (args.length > 0 && isService(args[0])) {
            LogTimestamps.installAsynchronous();
        } else {
            LogTimestamps.install();
        }
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> System.exit(Daemon.serve(System.getenv()));
            case "scheduler", "control" -> System.exit(NodeProgram.run(command, System.getenv()));
            case "simhost" -> System.exit(SimHost.run(System.in, System.out, System.err));
            default -> System.exit(Commands.run(args));
        }
    }

    /** Whether the subcommand serves until it is told to end; the others are interactive. */
    private static boolean isService(String command) {
        return switch (command) {
            case "serve", "scheduler", "control" -> true;
            default -> false;
        };
    }
}
