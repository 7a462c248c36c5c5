package gingerspool.dispatch;

import java.util.Arrays;
import java.util.Comparator;

/**
 * What a Dispatcher knows of each worker, in parallel arrays under a dense index. No decisions
 * here.
 */
final class Workers {
    private static final int INITIAL_CAPACITY = 32;

    int count;

    /** GONE, DRAINING or RUNNING. */
    int[] state = new int[INITIAL_CAPACITY];

    int[] zoneOf = new int[INITIAL_CAPACITY];
    int[] kindOf = new int[INITIAL_CAPACITY];
    int[] cellOf = new int[INITIAL_CAPACITY];
    boolean[] listed = new boolean[INITIAL_CAPACITY];

    /** From its name, the same at every dispatcher. */
    int[] tag = new int[INITIAL_CAPACITY];

    boolean[] probing = new boolean[INITIAL_CAPACITY];
    double[] startedAt = new double[INITIAL_CAPACITY];

    /** What the list says of its size, 0 if nothing. */
    double[] size = new double[INITIAL_CAPACITY];

    double[] slots = new double[INITIAL_CAPACITY];

    /** How many sends of ours are unfinished. */
    int[] inFlight = new int[INITIAL_CAPACITY];

    /** How many of its slots we may use, without bound where nobody shares them out. */
    int[] grantedSlots = new int[INITIAL_CAPACITY];

    /** Our unfinished sends, in slots, now and smoothed over about a report's age. */
    double[] ownSlots = new double[INITIAL_CAPACITY];

    double[] smoothedSlots = new double[INITIAL_CAPACITY];
    double[] smoothedAt = new double[INITIAL_CAPACITY];

    /** Jobs of others, as last heard. */
    double[] peerJobs = new double[INITIAL_CAPACITY];

    /** When load was last heard; NaN: never. */
    double[] loadAt = new double[INITIAL_CAPACITY];

    /** Logarithm of its pace over its kind's. */
    double[] logPace = new double[INITIAL_CAPACITY];

    /** By profile: share of failures lately, when it was set, and failures in a row. */
    double[][] failRate = new double[INITIAL_CAPACITY][];

    double[][] failRateAt = new double[INITIAL_CAPACITY][];
    int[][] failsInRow = new int[INITIAL_CAPACITY][];
    double[] avoidUntil = new double[INITIAL_CAPACITY];

    /** Since when operators have kept it out of use; NaN: they don't. */
    double[] suspendedAt = new double[INITIAL_CAPACITY];

    double[] avoidSpan = new double[INITIAL_CAPACITY];

    /** Work counted against the cold budget, and when. */
    double[] coldLevel = new double[INITIAL_CAPACITY];

    double[] coldLevelAt = new double[INITIAL_CAPACITY];
    double[] probedAt = new double[INITIAL_CAPACITY];
    double[] answeredAt = new double[INITIAL_CAPACITY];
    double[] score = new double[INITIAL_CAPACITY];
    double[][] lastReport = new double[INITIAL_CAPACITY][];

    /** Counts of the region believed at a send against the one told. */
    double[][][] pairCounts = new double[INITIAL_CAPACITY][][];

    /** Sends by believed region that wait for the next report. */
    int[][] sendsByRegion = new int[INITIAL_CAPACITY][];

    double[] sendRate = new double[INITIAL_CAPACITY];
    double[] rateAt = new double[INITIAL_CAPACITY];
    double[] reportedRate = new double[INITIAL_CAPACITY];
    double[] overtakenAt = new double[INITIAL_CAPACITY];

    /** Mixes of running times (in bins) and profiles over the last jobs there. */
    double[][] runCounts = new double[INITIAL_CAPACITY][];

    double[][] profileCounts = new double[INITIAL_CAPACITY][];

    /** Tables of X: by profile, region and bin. */
    double[][][][] overtaken = new double[INITIAL_CAPACITY][][][];

    /** Ends of the list of unfinished sends, in order of sending. */
    Assignment[] oldest = new Assignment[INITIAL_CAPACITY];

    Assignment[] newest = new Assignment[INITIAL_CAPACITY];

    /** The same by machine kind: slots at most, work done and running time. */
    double[] kindSlots = new double[0];

    double[] kindWork = new double[0];
    double[] kindRunTime = new double[0];

    /**
     * Jobs of others a slot, as the mean of what was heard lately: of each kind here, and
     * elsewhere.
     */
    double[] groupPeerJobs = new double[0];

    /**
     * A place in this dispatcher's own order of workers, 0 if none yet, and the workers in that
     * order.
     */
    double[] rank = new double[INITIAL_CAPACITY];

    Integer[] order = new Integer[0];

    private final int regions;
    private final int bins;
    private final int profiles;

    Workers(int regions, int bins, int profiles) {
        this.regions = regions;
        this.bins = bins;
        this.profiles = profiles;
    }

    /** Makes room for this worker and this kind. */
    void ensureCapacity(int w, int kind) {
        if (kind >= kindSlots.length) {
            kindSlots = Arrays.copyOf(kindSlots, kind + 1);
            kindWork = Arrays.copyOf(kindWork, kind + 1);
            kindRunTime = Arrays.copyOf(kindRunTime, kind + 1);
            groupPeerJobs = Arrays.copyOf(groupPeerJobs, 2 * kind + 2);
        }
        if (w >= state.length) {
            grow(2 * w);
        }
        for (; count <= w; count++) {
            lastReport[count] = new double[Report.SIZE];
            sendsByRegion[count] = new int[regions];
            pairCounts[count] = new double[regions][regions];
            runCounts[count] = new double[bins];
            profileCounts[count] = new double[profiles];
            failRate[count] = new double[profiles];
            failRateAt[count] = new double[profiles];
            failsInRow[count] = new int[profiles];
            reportedRate[count] = Double.NaN;
            loadAt[count] = Double.NaN;
            suspendedAt[count] = Double.NaN;
            probedAt[count] = Double.NEGATIVE_INFINITY;
            grantedSlots[count] = Integer.MAX_VALUE;
        }
    }

    /**
     * Passes on what holds of a worker whatever its work: our place for it, its rest, its cold
     * budget.
     */
    void transferAvailability(LearnedSnapshot m) {
        m.workers(tag, count);
        m.perWorker("rank", rank, count);
        m.perWorker("shunUntil", avoidUntil, count);
        m.perWorker("shunSpan", avoidSpan, count);
        m.perWorker("coldLevel", coldLevel, count);
        m.perWorker("coldAt", coldLevelAt, count);
        m.perWorker("answeredAt", answeredAt, count);
    }

    /** Passes on what holds of a worker's machine. */
    void transferMachines(LearnedSnapshot m) {
        m.perWorker("slots", slots, count);
        m.perWorker("swift", logPace, count);
        m.numbers("kindSlots", kindSlots);
        m.numbers("kindWork", kindWork);
        m.numbers("kindRun", kindRunTime);
    }

    /** Passes on what reports have shown. */
    void transferReports(LearnedSnapshot m) {
        m.perWorker("others", peerJobs, count);
        m.perWorker("heardAt", loadAt, count);
        m.perWorker("probedAt", probedAt, count);
        m.perWorker("reportedRate", reportedRate, count);
        m.rowPerWorker("lastReport", lastReport, count);
        m.numbers("groupOthers", groupPeerJobs);
    }

    /** Passes on what the tasks there have shown. */
    void transferTasks(LearnedSnapshot m) {
        m.perWorker("sendRate", sendRate, count);
        m.perWorker("rateAt", rateAt, count);
        m.rowPerWorker("fail", failRate, count);
        m.rowPerWorker("failAt", failRateAt, count);
        m.rowPerWorker("mixRun", runCounts, count);
        m.rowPerWorker("mixProfile", profileCounts, count);
        m.tablePerWorker("pairs", pairCounts, count);
    }

    /** Adds an unfinished send to those of its worker. */
    void link(Assignment a) {
        int w = a.worker;
        ownSlots[w] += a.task.width;
        inFlight[w]++;
        a.previous = newest[w];
        if (newest[w] == null) {
            oldest[w] = a;
        } else {
            newest[w].next = a;
        }
        newest[w] = a;
    }

    void unlink(Assignment a) {
        int w = a.worker;
        ownSlots[w] = Math.max(0, ownSlots[w] - a.task.width);
        inFlight[w]--;
        if (a.previous == null) {
            oldest[w] = a.next;
        } else {
            a.previous.next = a.next;
        }
        if (a.next == null) {
            newest[w] = a.previous;
        } else {
            a.next.previous = a.previous;
        }
        a.previous = null;
        a.next = null;
    }

    boolean isSuspended(int w) {
        return !Double.isNaN(suspendedAt[w]);
    }

    /** The worker with the highest value, or -1 if none has one. */
    int highestScored() {
        int best = -1;
        for (int w = 0; w < count; w++) {
            double least = best < 0 ? Double.NEGATIVE_INFINITY : score[best];
            best = score[w] > least ? w : best;
        }
        return best;
    }

    /** The worker whose tag ends like this, or -1. */
    int findByTag(int end) {
        int w = count - 1;
        while (w >= 0 && (tag[w] & 0xFFFF) != end) {
            w--;
        }
        return w;
    }

    /** Spreads the bits of a hash. */
    static int mixBits(int h) {
        h = (h ^ h >>> 16) * 0x85EBCA6B;
        h = (h ^ h >>> 13) * 0xC2B2AE35;
        return h ^ h >>> 16;
    }

    /** Sorts the workers by rank. */
    void order() {
        order = new Integer[count];
        Arrays.setAll(order, i -> i);
        Arrays.sort(order, Comparator.comparingDouble(w -> rank[w]));
    }

    /** Halves counts once they sum to more than this, so that new ones weigh more. */
    static void halve(double[] counts, double most) {
        if (sum(counts) > most) {
            for (int i = 0; i < counts.length; i++) {
                counts[i] /= 2;
            }
        }
    }

    static double sum(double[] v) {
        double s = 0;
        for (double x : v) {
            s += x;
        }
        return s;
    }

    private void grow(int n) {
        rank = Arrays.copyOf(rank, n);
        state = Arrays.copyOf(state, n);
        zoneOf = Arrays.copyOf(zoneOf, n);
        kindOf = Arrays.copyOf(kindOf, n);
        cellOf = Arrays.copyOf(cellOf, n);
        listed = Arrays.copyOf(listed, n);
        tag = Arrays.copyOf(tag, n);
        probing = Arrays.copyOf(probing, n);
        startedAt = Arrays.copyOf(startedAt, n);
        size = Arrays.copyOf(size, n);
        slots = Arrays.copyOf(slots, n);
        ownSlots = Arrays.copyOf(ownSlots, n);
        inFlight = Arrays.copyOf(inFlight, n);
        grantedSlots = Arrays.copyOf(grantedSlots, n);
        smoothedSlots = Arrays.copyOf(smoothedSlots, n);
        smoothedAt = Arrays.copyOf(smoothedAt, n);
        peerJobs = Arrays.copyOf(peerJobs, n);
        loadAt = Arrays.copyOf(loadAt, n);
        logPace = Arrays.copyOf(logPace, n);
        failRate = Arrays.copyOf(failRate, n);
        failRateAt = Arrays.copyOf(failRateAt, n);
        failsInRow = Arrays.copyOf(failsInRow, n);
        avoidUntil = Arrays.copyOf(avoidUntil, n);
        avoidSpan = Arrays.copyOf(avoidSpan, n);
        suspendedAt = Arrays.copyOf(suspendedAt, n);
        coldLevel = Arrays.copyOf(coldLevel, n);
        coldLevelAt = Arrays.copyOf(coldLevelAt, n);
        probedAt = Arrays.copyOf(probedAt, n);
        answeredAt = Arrays.copyOf(answeredAt, n);
        score = Arrays.copyOf(score, n);
        lastReport = Arrays.copyOf(lastReport, n);
        pairCounts = Arrays.copyOf(pairCounts, n);
        sendsByRegion = Arrays.copyOf(sendsByRegion, n);
        sendRate = Arrays.copyOf(sendRate, n);
        rateAt = Arrays.copyOf(rateAt, n);
        reportedRate = Arrays.copyOf(reportedRate, n);
        overtakenAt = Arrays.copyOf(overtakenAt, n);
        runCounts = Arrays.copyOf(runCounts, n);
        profileCounts = Arrays.copyOf(profileCounts, n);
        overtaken = Arrays.copyOf(overtaken, n);
        oldest = Arrays.copyOf(oldest, n);
        newest = Arrays.copyOf(newest, n);
    }
}
