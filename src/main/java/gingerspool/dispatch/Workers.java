package gingerspool.dispatch;

import java.util.Arrays;
import java.util.Comparator;

/**
 * What a Dispatcher knows of each worker: parallel arrays indexed by the dense worker index. Times
 * and spans are milliseconds. Makes no decisions.
 */
final class Workers {
    private static final int INITIAL_CAPACITY = 32;

    int count;

    /** GONE, DRAINING or RUNNING. */
    int[] state = new int[INITIAL_CAPACITY];

    /** Zone, machine kind and cell, as dense numbers given by the host. */
    int[] zoneOf = new int[INITIAL_CAPACITY];

    int[] kindOf = new int[INITIAL_CAPACITY];
    int[] cellOf = new int[INITIAL_CAPACITY];

    /** Whether the list being received names the worker. */
    boolean[] listed = new boolean[INITIAL_CAPACITY];

    /** Hash of the name, the same at every dispatcher. */
    int[] tag = new int[INITIAL_CAPACITY];

    /** Whether a probe for a report is unanswered. */
    boolean[] probing = new boolean[INITIAL_CAPACITY];

    double[] startedAt = new double[INITIAL_CAPACITY];

    /** Size given in the list, in slots; 1 if it gives none. */
    double[] size = new double[INITIAL_CAPACITY];

    /** Most free slots reported so far; 0: none reported. */
    double[] slots = new double[INITIAL_CAPACITY];

    /** Unfinished sends, of this dispatcher and announced by peers. */
    int[] inFlight = new int[INITIAL_CAPACITY];

    /** Slots this dispatcher may use; Integer.MAX_VALUE without a grant. */
    int[] grantedSlots = new int[INITIAL_CAPACITY];

    /** Slots of unfinished sends, now and smoothed over about a report's age. */
    double[] ownSlots = new double[INITIAL_CAPACITY];

    double[] smoothedSlots = new double[INITIAL_CAPACITY];
    double[] smoothedAt = new double[INITIAL_CAPACITY];

    /** Jobs of other dispatchers, as last estimated from a report. */
    double[] peerJobs = new double[INITIAL_CAPACITY];

    /** When load was last reported; NaN: never. */
    double[] loadAt = new double[INITIAL_CAPACITY];

    /** Logarithm of its pace relative to its kind's. */
    double[] logPace = new double[INITIAL_CAPACITY];

    /** By profile: decayed share of failures, when it was updated, and failures in a row. */
    double[][] failRate = new double[INITIAL_CAPACITY][];

    double[][] failRateAt = new double[INITIAL_CAPACITY][];
    int[][] failsInRow = new int[INITIAL_CAPACITY][];

    /** End of the current backoff; its length is in avoidSpan. */
    double[] avoidUntil = new double[INITIAL_CAPACITY];

    /** When operators suspended the worker; NaN: not suspended. */
    double[] suspendedAt = new double[INITIAL_CAPACITY];

    double[] avoidSpan = new double[INITIAL_CAPACITY];

    /** Level of the cold budget in work, and when it was updated. */
    double[] coldLevel = new double[INITIAL_CAPACITY];

    double[] coldLevelAt = new double[INITIAL_CAPACITY];
    double[] probedAt = new double[INITIAL_CAPACITY];
    double[] answeredAt = new double[INITIAL_CAPACITY];

    /** Score in the choice being made; negative infinity: no candidate. */
    double[] score = new double[INITIAL_CAPACITY];

    double[][] lastReport = new double[INITIAL_CAPACITY][];

    /** Counts of pairs: region believed at a send, region observed afterwards. */
    double[][][] pairCounts = new double[INITIAL_CAPACITY][][];

    /** Sends by believed region since the last report. */
    int[][] sendsByRegion = new int[INITIAL_CAPACITY][];

    /** Own sends per ms, when that was updated, and all jobs per s as reported. */
    double[] sendRate = new double[INITIAL_CAPACITY];

    double[] rateAt = new double[INITIAL_CAPACITY];
    double[] reportedRate = new double[INITIAL_CAPACITY];
    double[] overtakenAt = new double[INITIAL_CAPACITY];

    /** Histograms of running times (in bins) and profiles over the last jobs. */
    double[][] runCounts = new double[INITIAL_CAPACITY][];

    double[][] profileCounts = new double[INITIAL_CAPACITY][];

    /** P(X at most a bin) by profile, region and bin, see FutureArrivals; null: not built. */
    double[][][][] overtaken = new double[INITIAL_CAPACITY][][][];

    /** Ends of the linked list of unfinished sends, in order of sending. */
    Assignment[] oldest = new Assignment[INITIAL_CAPACITY];

    Assignment[] newest = new Assignment[INITIAL_CAPACITY];

    /** By machine kind: most slots of a worker, and decayed sums of work done and running time. */
    double[] kindSlots = new double[0];

    double[] kindWork = new double[0];
    double[] kindRunTime = new double[0];

    /** Mean peer jobs per slot lately, by group (kind, and own zone or another). */
    double[] groupPeerJobs = new double[0];

    /** Rank in this dispatcher's own order of workers (0: none yet), and the workers by rank. */
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

    /** Makes room for the worker and the kind. */
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

    /** Transfers what does not depend on tasks: rank, backoff and cold budget. */
    void transferAvailability(LearnedSnapshot snapshot) {
        snapshot.workers(tag, count);
        snapshot.perWorker("rank", rank, count);
        snapshot.perWorker("shunUntil", avoidUntil, count);
        snapshot.perWorker("shunSpan", avoidSpan, count);
        snapshot.perWorker("coldLevel", coldLevel, count);
        snapshot.perWorker("coldAt", coldLevelAt, count);
        snapshot.perWorker("answeredAt", answeredAt, count);
    }

    /** Transfers estimates of the workers' machines. */
    void transferMachines(LearnedSnapshot snapshot) {
        snapshot.perWorker("slots", slots, count);
        snapshot.perWorker("swift", logPace, count);
        snapshot.numbers("kindSlots", kindSlots);
        snapshot.numbers("kindWork", kindWork);
        snapshot.numbers("kindRun", kindRunTime);
    }

    /** Transfers estimates from load reports. */
    void transferReports(LearnedSnapshot snapshot) {
        snapshot.perWorker("others", peerJobs, count);
        snapshot.perWorker("heardAt", loadAt, count);
        snapshot.perWorker("probedAt", probedAt, count);
        snapshot.perWorker("reportedRate", reportedRate, count);
        snapshot.rowPerWorker("lastReport", lastReport, count);
        snapshot.numbers("groupOthers", groupPeerJobs);
    }

    /** Transfers estimates from the tasks that ran there. */
    void transferTasks(LearnedSnapshot snapshot) {
        snapshot.perWorker("sendRate", sendRate, count);
        snapshot.perWorker("rateAt", rateAt, count);
        snapshot.rowPerWorker("fail", failRate, count);
        snapshot.rowPerWorker("failAt", failRateAt, count);
        snapshot.rowPerWorker("mixRun", runCounts, count);
        snapshot.rowPerWorker("mixProfile", profileCounts, count);
        snapshot.tablePerWorker("pairs", pairCounts, count);
    }

    /** Appends an unfinished send to the list of its worker. */
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

    /** The worker with the highest score, or -1 if there is no candidate. */
    int highestScored() {
        int best = -1;
        for (int w = 0; w < count; w++) {
            double least = best < 0 ? Double.NEGATIVE_INFINITY : score[best];
            best = score[w] > least ? w : best;
        }
        return best;
    }

    /** A worker whose tag ends in these 16 bits, or -1. */
    int findByTag(int tagEnd) {
        int w = count - 1;
        while (w >= 0 && (tag[w] & 0xFFFF) != tagEnd) {
            w--;
        }
        return w;
    }

    /** Mixes the bits of a hash (finalizer of MurmurHash3). */
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

    /** Halves counts once their sum exceeds the maximum, so that new ones weigh more. */
    static void halve(double[] counts, double max) {
        if (sum(counts) > max) {
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
