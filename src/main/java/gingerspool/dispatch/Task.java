package gingerspool.dispatch;

import java.util.Arrays;

/**
 * One client request held by this scheduler. Holds state only; the Dispatcher decides. Hosts extend
 * it with their own state. Times and spans are milliseconds.
 */
public class Task {
    /** Identifier given by the front end; the dispatcher does not interpret it. */
    public final String id;

    public Profile profile;

    /** Index of the tenant, or -1. */
    public int tenant = -1;

    /** When the client gives up on this try; the answer is due before that. */
    public double expiry;

    /** Expected running time on a standard core, or 0 if the client gives none. */
    public double hint;

    /** Slots that it occupies. */
    public int width = 1;

    /** Memory that it needs, in units of a slot's share of it. */
    public double memory;

    /** Whether the client sends it again; only logged. */
    public boolean repeat;

    /** Limits set by the operator. */
    public Terms terms = Terms.DEFAULT;

    /**
     * Whether it exceeded an operator's limit on arrival: it is rejected at once, to be retried
     * after `retryAfter`.
     */
    public boolean overLimit;

    /** Pause to advise for a task over the limit; 0: the longest allowed. */
    public double retryAfter;

    /** Arrival time, due time, expected work, worth to the goal, and time of the next decision. */
    double arrived;

    double due;
    double work;
    double worth;
    double decideAt;

    /** End of the current backoff pause, and the number of tries before the last pause began. */
    double pauseUntil;

    int pausedAfter;

    /** Outcome of its last assignment, or null. */
    Outcome lastOutcome;

    /** Whether it is among the PendingTasks. */
    boolean pending;

    /** Workers probed for reports on its behalf; null: none yet. */
    int[] probedWorkers;

    /** Whether nothing more is to be decided: answered, given up or left by the client. */
    boolean ended;

    /** All assignments so far, in the first `tries` places, and how many have no outcome yet. */
    Assignment[] assignments = new Assignment[1];

    int tries;
    int inFlight;

    /** The earliest assignment that may have run, if any. */
    Assignment firstRun;

    public Task(String id) {
        this.id = id;
    }

    /** Adds an assignment, which may have run unless its outcome proves otherwise. */
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

    /** Records that the worker was probed for a report on its behalf. */
    void addProbed(int w) {
        probedWorkers = Arrays.copyOf(probedWorkers, probedWorkers.length + 1);
        probedWorkers[probedWorkers.length - 1] = w;
    }

    /** Updates firstRun after an outcome. */
    void updateFirstRun() {
        firstRun = null;
        for (int i = tries - 1; i >= 0; i--) {
            firstRun = assignments[i].neverRan ? firstRun : assignments[i];
        }
    }

    /** The assignment with this number, or null. */
    public Assignment assignment(int number) {
        return number >= 0 && number < tries ? assignments[number] : null;
    }

    /** How many assignments have no outcome yet. */
    public int outstanding() {
        return inFlight;
    }

    public boolean ended() {
        return ended;
    }

    /** Time until it is due, rounded, for logs. */
    public double dueIn(double now) {
        return Math.rint(due - now);
    }
}
