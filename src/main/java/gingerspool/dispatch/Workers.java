package gingerspool.dispatch;

import java.util.Arrays;
import java.util.Comparator;

/**
 * What a Dispatcher knows of each worker, in parallel arrays under a dense index. No decisions
 * here.
 */
final class Workers {
    private static final int ROOM = 32;

    int count;

    /** GONE, DRAINING or RUNNING. */
    int[] state = new int[ROOM];

    int[] zoneOf = new int[ROOM];
    int[] kindOf = new int[ROOM];
    int[] cellOf = new int[ROOM];
    boolean[] named = new boolean[ROOM];

    /** From its name, the same at every dispatcher. */
    int[] tag = new int[ROOM];

    boolean[] probing = new boolean[ROOM];
    double[] startedAt = new double[ROOM];

    /** What the list says of its size, 0 if nothing. */
    double[] size = new double[ROOM];

    double[] slots = new double[ROOM];

    /** How many sends of ours are unfinished. */
    int[] out = new int[ROOM];

    /** How many of its slots we may use, without bound where nobody shares them out. */
    int[] granted = new int[ROOM];

    /** Our unfinished sends, in slots, now and smoothed over about a report's age. */
    double[] own = new double[ROOM];

    double[] ownSmooth = new double[ROOM];
    double[] ownAt = new double[ROOM];

    /** Jobs of others, as last heard. */
    double[] others = new double[ROOM];

    /** When load was last heard; NaN: never. */
    double[] heardAt = new double[ROOM];

    /** Logarithm of its pace over its kind's. */
    double[] ownPace = new double[ROOM];

    /** By profile: share of failures lately, when it was set, and failures in a row. */
    double[][] fail = new double[ROOM][];

    double[][] failAt = new double[ROOM][];
    int[][] failRow = new int[ROOM][];
    double[] avoidUntil = new double[ROOM];

    /** Since when operators have kept it out of use; NaN: they don't. */
    double[] bannedAt = new double[ROOM];

    double[] avoidSpan = new double[ROOM];

    /** Work counted against the cold budget, and when. */
    double[] coldLevel = new double[ROOM];

    double[] coldAt = new double[ROOM];
    double[] probedAt = new double[ROOM];
    double[] answeredAt = new double[ROOM];
    double[] value = new double[ROOM];
    double[][] lastReport = new double[ROOM][];

    /** Counts of the region believed at a send against the one told. */
    double[][][] pairs = new double[ROOM][][];

    /** Sends by believed region that wait for the next report. */
    int[][] sentIn = new int[ROOM][];

    double[] sendRate = new double[ROOM];
    double[] rateAt = new double[ROOM];
    double[] reportedRate = new double[ROOM];
    double[] overtakenAt = new double[ROOM];

    /** Mixes of running times (in bins) and profiles over the last jobs there. */
    double[][] mixRun = new double[ROOM][];

    double[][] mixProfile = new double[ROOM][];

    /** Tables of X: by profile, region and bin. */
    double[][][][] overtaken = new double[ROOM][][][];

    /** Ends of the list of unfinished sends, in order of sending. */
    Assignment[] oldest = new Assignment[ROOM];

    Assignment[] newest = new Assignment[ROOM];

    /** The same by machine kind: slots at most, work done and running time. */
    double[] kindSlots = new double[0];

    double[] kindWork = new double[0];
    double[] kindRun = new double[0];

    /**
     * Jobs of others a slot, as the mean of what was heard lately: of each kind here, and
     * elsewhere.
     */
    double[] groupOthers = new double[0];

    /**
     * A place in this dispatcher's own order of workers, 0 if none yet, and the workers in that
     * order.
     */
    double[] rank = new double[ROOM];

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
    void reach(int w, int kind) {
        if (kind >= kindSlots.length) {
            kindSlots = Arrays.copyOf(kindSlots, kind + 1);
            kindWork = Arrays.copyOf(kindWork, kind + 1);
            kindRun = Arrays.copyOf(kindRun, kind + 1);
            groupOthers = Arrays.copyOf(groupOthers, 2 * kind + 2);
        }
        if (w >= state.length) {
            widen(2 * w);
        }
        for (; count <= w; count++) {
            lastReport[count] = new double[Report.SIZE];
            sentIn[count] = new int[regions];
            pairs[count] = new double[regions][regions];
            mixRun[count] = new double[bins];
            mixProfile[count] = new double[profiles];
            fail[count] = new double[profiles];
            failAt[count] = new double[profiles];
            failRow[count] = new int[profiles];
            reportedRate[count] = Double.NaN;
            heardAt[count] = Double.NaN;
            bannedAt[count] = Double.NaN;
            probedAt[count] = Double.NEGATIVE_INFINITY;
            granted[count] = Integer.MAX_VALUE;
        }
    }

    /**
     * Passes on what holds of a worker whatever its work: our place for it, its rest, its cold
     * budget.
     */
    void carryStanding(LearnedSnapshot m) {
        m.workers(tag, count);
        m.each("rank", rank, count);
        m.each("shunUntil", avoidUntil, count);
        m.each("shunSpan", avoidSpan, count);
        m.each("coldLevel", coldLevel, count);
        m.each("coldAt", coldAt, count);
        m.each("answeredAt", answeredAt, count);
    }

    /** Passes on what holds of a worker's machine. */
    void carryMachines(LearnedSnapshot m) {
        m.each("slots", slots, count);
        m.each("swift", ownPace, count);
        m.numbers("kindSlots", kindSlots);
        m.numbers("kindWork", kindWork);
        m.numbers("kindRun", kindRun);
    }

    /** Passes on what reports have shown. */
    void carryReports(LearnedSnapshot m) {
        m.each("others", others, count);
        m.each("heardAt", heardAt, count);
        m.each("probedAt", probedAt, count);
        m.each("reportedRate", reportedRate, count);
        m.rows("lastReport", lastReport, count);
        m.numbers("groupOthers", groupOthers);
    }

    /** Passes on what the tasks there have shown. */
    void carryTasks(LearnedSnapshot m) {
        m.each("sendRate", sendRate, count);
        m.each("rateAt", rateAt, count);
        m.rows("fail", fail, count);
        m.rows("failAt", failAt, count);
        m.rows("mixRun", mixRun, count);
        m.rows("mixProfile", mixProfile, count);
        m.tables("pairs", pairs, count);
    }

    /** Adds an unfinished send to those of its worker. */
    void link(Assignment a) {
        int w = a.worker;
        own[w] += a.task.width;
        out[w]++;
        a.before = newest[w];
        if (newest[w] == null) {
            oldest[w] = a;
        } else {
            newest[w].after = a;
        }
        newest[w] = a;
    }

    void unlink(Assignment a) {
        int w = a.worker;
        own[w] = Math.max(0, own[w] - a.task.width);
        out[w]--;
        if (a.before == null) {
            oldest[w] = a.after;
        } else {
            a.before.after = a.after;
        }
        if (a.after == null) {
            newest[w] = a.before;
        } else {
            a.after.before = a.before;
        }
        a.before = null;
        a.after = null;
    }

    boolean banned(int w) {
        return !Double.isNaN(bannedAt[w]);
    }

    /** The worker with the highest value, or -1 if none has one. */
    int highestValued() {
        int best = -1;
        for (int w = 0; w < count; w++) {
            double least = best < 0 ? Double.NEGATIVE_INFINITY : value[best];
            best = value[w] > least ? w : best;
        }
        return best;
    }

    /** The worker whose tag ends like this, or -1. */
    int withTag(int end) {
        int w = count - 1;
        while (w >= 0 && (tag[w] & 0xFFFF) != end) {
            w--;
        }
        return w;
    }

    /** Spreads the bits of a hash. */
    static int mixed(int h) {
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

    private void widen(int n) {
        rank = Arrays.copyOf(rank, n);
        state = Arrays.copyOf(state, n);
        zoneOf = Arrays.copyOf(zoneOf, n);
        kindOf = Arrays.copyOf(kindOf, n);
        cellOf = Arrays.copyOf(cellOf, n);
        named = Arrays.copyOf(named, n);
        tag = Arrays.copyOf(tag, n);
        probing = Arrays.copyOf(probing, n);
        startedAt = Arrays.copyOf(startedAt, n);
        size = Arrays.copyOf(size, n);
        slots = Arrays.copyOf(slots, n);
        own = Arrays.copyOf(own, n);
        out = Arrays.copyOf(out, n);
        granted = Arrays.copyOf(granted, n);
        ownSmooth = Arrays.copyOf(ownSmooth, n);
        ownAt = Arrays.copyOf(ownAt, n);
        others = Arrays.copyOf(others, n);
        heardAt = Arrays.copyOf(heardAt, n);
        ownPace = Arrays.copyOf(ownPace, n);
        fail = Arrays.copyOf(fail, n);
        failAt = Arrays.copyOf(failAt, n);
        failRow = Arrays.copyOf(failRow, n);
        avoidUntil = Arrays.copyOf(avoidUntil, n);
        avoidSpan = Arrays.copyOf(avoidSpan, n);
        bannedAt = Arrays.copyOf(bannedAt, n);
        coldLevel = Arrays.copyOf(coldLevel, n);
        coldAt = Arrays.copyOf(coldAt, n);
        probedAt = Arrays.copyOf(probedAt, n);
        answeredAt = Arrays.copyOf(answeredAt, n);
        value = Arrays.copyOf(value, n);
        lastReport = Arrays.copyOf(lastReport, n);
        pairs = Arrays.copyOf(pairs, n);
        sentIn = Arrays.copyOf(sentIn, n);
        sendRate = Arrays.copyOf(sendRate, n);
        rateAt = Arrays.copyOf(rateAt, n);
        reportedRate = Arrays.copyOf(reportedRate, n);
        overtakenAt = Arrays.copyOf(overtakenAt, n);
        mixRun = Arrays.copyOf(mixRun, n);
        mixProfile = Arrays.copyOf(mixProfile, n);
        overtaken = Arrays.copyOf(overtaken, n);
        oldest = Arrays.copyOf(oldest, n);
        newest = Arrays.copyOf(newest, n);
    }
}
