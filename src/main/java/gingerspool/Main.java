package gingerspool;

import gingerspool.daemon.Daemon;
import gingerspool.simhost.SimHost;

/** Picks the subcommand. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> System.exit(Daemon.serve(System.getenv()));
            case "simhost" -> System.exit(SimHost.run(System.in, System.out, System.err));
            default -> {
                System.err.println("usage: java -jar gingerspool.jar serve | simhost");
                System.exit(2);
            }
        }
    }
}
