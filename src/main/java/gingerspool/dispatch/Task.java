package gingerspool.dispatch;

import java.util.Arrays;

/**
 * One client request in our hands. Holds facts only; the Dispatcher decides. A host may add its
 * own.
 */
public class Task {
    /** What the door calls it; never looked at inside. */
    public final String id;

    public Profile profile;

    /** Index of the tenant, or -1. */
    public int tenant = -1;

    /** When the client gives up on this try. */
    public double expiry;

    /** Expected work on a standard core, or 0 when not told. */
    public double hint;

    public int width = 1;
    public double memory;
    public boolean repeat;

    /** What the operator allows it. */
    public Terms terms = Terms.DEFAULT;

    /**
     * It came over a limit of the operator's: it is turned away at once, best to come again after
     * `advice`.
     */
    public boolean overLimit;

    /** Milliseconds, or 0 for none of its own. */
    public double advice;

    double arrived;
    double due;
    double work;
    double worth;
    double decideAt;

    /** Until then it rests between two assignments, and after how many of them it last began to. */
    double pauseUntil;

    int pausedAfter;

    /** How its last assignment ended, or null. */
    Outcome lastOutcome;

    boolean pending;

    /** The workers asked for reports on its behalf; null: none yet. */
    int[] probedWorkers;

    boolean ended;
    Assignment[] assignments = new Assignment[1];
    int tries;
    int inFlight;

    /** The earliest assignment that may have run, if any. */
    Assignment firstRun;

    public Task(String id) {
        this.id = id;
    }

    /** Notes one more assignment, which may run until its outcome proves otherwise. */
    void add(Assignment a) {
        if (tries == assignments.length) {
            assignments = Arrays.copyOf(assignments, 2 * tries);
        }
        assignments[tries++] = a;
        inFlight++;
        firstRun = firstRun == null ? a : firstRun;
    }

    /** Whether an assignment at this worker has no outcome yet. */
    boolean isInFlightAt(int w) {
        for (int i = 0; i < tries && inFlight > 0; i++) {
            if (assignments[i].worker == w && !assignments[i].finished) {
                return true;
            }
        }
        return false;
    }

    /** Notes that this worker was asked for a report on its behalf. */
    void addProbed(int w) {
        probedWorkers = Arrays.copyOf(probedWorkers, probedWorkers.length + 1);
        probedWorkers[probedWorkers.length - 1] = w;
    }

    /** Finds the earliest assignment that may have run. */
    void updateFirstRun() {
        firstRun = null;
        for (int i = tries - 1; i >= 0; i--) {
            firstRun = assignments[i].neverRan ? firstRun : assignments[i];
        }
    }

    /** The assignment with this number, or null. */
    public Assignment assignment(int n) {
        return n >= 0 && n < tries ? assignments[n] : null;
    }

    /** How many assignments have no outcome yet. */
    public int outstanding() {
        return inFlight;
    }

    public boolean ended() {
        return ended;
    }

    /** The span from this time to when it is believed due, for a log. */
    public double dueIn(double now) {
        return Math.rint(due - now);
    }
}
