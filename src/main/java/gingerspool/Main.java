package gingerspool;

import gingerspool.simhost.SimHost;

/** Picks the subcommand. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar gingerspool.jar simhost");
            System.exit(2);
        }
        System.exit(SimHost.run(System.in, System.out, System.err));
    }
}
