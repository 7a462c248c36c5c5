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
    public Terms terms = Terms.PLAIN;

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
    Outcome last;

    boolean pending;

    /** The workers asked for reports on its behalf; null: none yet. */
    int[] asked;

    boolean ended;
    Assignment[] sent = new Assignment[1];
    int tries;
    int out;

    /** The earliest assignment that may have run, if any. */
    Assignment ran;

    public Task(String id) {
        this.id = id;
    }

    /** Notes one more assignment, which may run until its outcome proves otherwise. */
    void add(Assignment a) {
        if (tries == sent.length) {
            sent = Arrays.copyOf(sent, 2 * tries);
        }
        sent[tries++] = a;
        out++;
        ran = ran == null ? a : ran;
    }

    /** Whether an assignment at this worker has no outcome yet. */
    boolean outAt(int w) {
        for (int i = 0; i < tries && out > 0; i++) {
            if (sent[i].worker == w && !sent[i].over) {
                return true;
            }
        }
        return false;
    }

    /** Notes that this worker was asked for a report on its behalf. */
    void addAsked(int w) {
        asked = Arrays.copyOf(asked, asked.length + 1);
        asked[asked.length - 1] = w;
    }

    /** Finds the earliest assignment that may have run. */
    void findRan() {
        ran = null;
        for (int i = tries - 1; i >= 0; i--) {
            ran = sent[i].neverRan ? ran : sent[i];
        }
    }

    /** The assignment with this number, or null. */
    public Assignment assignment(int n) {
        return n >= 0 && n < tries ? sent[n] : null;
    }

    /** How many assignments have no outcome yet. */
    public int outstanding() {
        return out;
    }

    public boolean ended() {
        return ended;
    }

    /** The span from this time to when it is believed due, for a log. */
    public double dueIn(double now) {
        return Math.rint(due - now);
    }
}
