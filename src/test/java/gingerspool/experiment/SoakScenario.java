package gingerspool.experiment;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * A few seconds of traffic at two schedulers, in which operators' work and troubles come at any
 * moment and overlap; all of it drawn from a seed, so that a play that fails can be played again.
 */
final class SoakScenario {
    private static final double LENGTH = 7000;

    /** No fault comes so shortly before the end. */
    private static final double CALM_END = 1500;

    private static final int WORKERS = 4;

    /** Two schedulers have 5 to 10 faults together; more have as many each. */
    private static final int FEWEST_SCHEDULERS = 2;

    private static final int FEWEST_FAULTS = 5;
    private static final int FAULTS_SPREAD = 6;

    /** What may come; what stands there more often comes more often. */
    private static final List<String> KINDS =
            List.of(
                    "scheduler-replaced",
                    "scheduler-replaced",
                    "scheduler-replaced",
                    "heir-killed",
                    "heir-killed",
                    "scheduler-hangup",
                    "scheduler-hangup",
                    "scheduler-terminated",
                    "scheduler-killed",
                    "scheduler-drained",
                    "suspend",
                    "kill");

    /** Half of the clients go on with the connections that they have to a scheduler that leaves. */
    private static final double KEEPS_ON = 0.5;

    /** Sets the stream of disturbances apart from the one that all other faults come from. */
    private static final long OF_DISTURBANCES = 0xd157_0b5eL;

    /** Two schedulers are paused 0 to 2 times together; more as many times each. */
    private static final int PAUSES_SPREAD = 3;

    /** The disk is busy in one play of two, the tool is paused in one of sixteen. */
    private static final double DISK_SLOW = 0.5;

    private static final double TOOL_PAUSED = 1 / 16.0;

    private SplittableRandom chance;
    private final int schedulers;
    private final StringBuilder text = new StringBuilder();

    private SoakScenario(long seed, int schedulers) {
        chance = new SplittableRandom(seed);
        this.schedulers = schedulers;
    }

    /** The scenario file of this seed, with so many requests a second at so many schedulers. */
    static String of(long seed, int ratePerS, int schedulers) {
        return new SoakScenario(seed, schedulers).write(seed, ratePerS);
    }

    private String write(long seed, int ratePerS) {
        line("seed = %d%nlength = \"%.0fms\"", seed, LENGTH);
        line("[fleet]%nworkers = %d", WORKERS);
        line("[schedulers]%ncount = %d", schedulers);
        line("[profile.search]%nshare = 3%nwork = \"15ms\"%ndue = \"500ms\"");
        line("[profile.copy]%neffect = \"fingerprinted\"%nwork = \"20ms\"");
        line("due = \"500ms\"%nwindow = \"800ms\"");
        line("[profile.stamp]%neffect = \"side-effecting\"%nwork = \"20ms\"%ndue = \"500ms\"");
        line("[load]%nrate_per_s = %d%nretries = 1%nkeeps_on = %.1f", ratePerS, KEEPS_ON);
        int faults =
                (FEWEST_FAULTS + chance.nextInt(FAULTS_SPREAD)) * schedulers / FEWEST_SCHEDULERS;
        for (int i = 0; i < faults; i++) {
            fault(KINDS.get(chance.nextInt(KINDS.size())));
        }
        chance = new SplittableRandom(seed ^ OF_DISTURBANCES);
        disturbances();
        return text.toString();
    }

    /** Processes stand still and the disk is busy, beside whatever else comes. */
    private void disturbances() {
        int pauses = chance.nextInt(PAUSES_SPREAD) * schedulers / FEWEST_SCHEDULERS;
        for (int i = 0; i < pauses; i++) {
            begin("scheduler-paused");
            scheduler();
            lasts(100, 1000);
        }
        if (chance.nextDouble() < DISK_SLOW) {
            begin("disk-slow");
            lasts(300, 1500);
        }
        if (chance.nextDouble() < TOOL_PAUSED) {
            begin("tool-paused");
            lasts(100, 600);
        }
    }

    private void begin(String kind) {
        line("[[fault]]%nwhat = \"%s\"%nat = \"%.0fms\"", kind, span(0, LENGTH - CALM_END));
    }

    private void fault(String kind) {
        begin(kind);
        switch (kind) {
            case "scheduler-replaced", "scheduler-hangup", "scheduler-terminated" -> scheduler();
            case "scheduler-killed" -> {
                scheduler();
                lasts(100, 500);
            }
            case "heir-killed" -> {
                // From before its first line to after it has taken over.
                scheduler();
                lasts(50, 1200);
            }
            case "scheduler-drained" -> {
                scheduler();
                lasts(500, 1500);
            }
            default -> {
                line("worker = \"w%d\"", chance.nextInt(WORKERS));
                lasts(300, 1500);
            }
        }
    }

    private void scheduler() {
        line("scheduler = %d", chance.nextInt(schedulers));
    }

    private void lasts(double least, double most) {
        line("for = \"%.0fms\"", span(least, most));
    }

    private double span(double least, double most) {
        return least + (most - least) * chance.nextDouble();
    }

    private void line(String form, Object... parts) {
        text.append(String.format(Locale.ROOT, form, parts)).append('\n');
    }
}
