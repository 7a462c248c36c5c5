package gingerspool.dispatch;

import java.util.List;
import java.util.Map;

/**
 * The Dispatcher's model of tasks and workers: everything it has learned, as plain figures, and
 * their transfer to the next process through a {@link LearnedSnapshot}. The parts of the Dispatcher
 * read and update it; like them it is confined to the scheduler's thread. Times and spans are
 * milliseconds, work is running time in milliseconds on a standard core.
 */
abstract class Estimates extends Parameters {
    /** Window (N_S) of pair counts, histograms and running times, in samples. */
    static final int SAMPLES = 64;

    final Workers fleet;

    /** Pair counts over all workers, see Workers.pairCounts. */
    final double[][] pooledPairs;

    /** By profile: mean work, and running times seen. */
    final double[] profileWork;

    final double[] runsSeen;

    /** By profile: lowest age of an arriving task, which is a first try's. */
    final double[] firstTryAge;

    /** By profile: recent work (or tasks) that arrived, and the part answered in time. */
    final double[] seen;

    final double[] served;

    /** By profile: hints seen, mean log hint, and mean of the scaling of work by hints. */
    final double[] hintsSeen;

    final double[] hintLogMean;
    final double[] hintWorkMean;

    /** By profile: mean and variance of the logarithm of running times. */
    final double[] runLogMean;

    final double[] runVar;

    /** Decayed sums of squared log hints and of their products with log running times. */
    double hintVar = 16;

    double hintRunCov = 8;

    /** Mean work of recent tasks. */
    double meanWork;

    /** Factor by which cold workers warm up faster than configured, as their answers show. */
    double warmUp = 4;

    /** Pace of a standard core. */
    double standardPace = 1;

    /** Logarithm of the whole fleet's recent pace relative to the paces of its kinds. */
    double commonPace;

    /** Mean worth of recent tasks, and mean worth per work. */
    double meanWorth;

    double meanDensity;

    /** Recent share of tasks without a free slot at their best worker. */
    double queuedShare;

    /** Recent share of answers after the due time. */
    double lateShare;

    /** Recent share of scored workers that were believed full. */
    double fullShare;

    /** Mean time between arriving tasks. */
    double arrivalGap;

    double lastArrival;
    double firstArrival = Double.NaN;

    /** By tenant: tasks per second, and when that was updated. */
    final double[] tenantRate;

    final double[] tenantRateAt;

    /** The time of the input being handled. */
    double now;

    /** Whether any report has arrived, and whether one showed a queue. */
    boolean reportsReceived;

    boolean reportsShowQueues;
    private List<String> resetParts = List.of();

    Estimates(DispatcherSettings settings, int regions, int bins) {
        super(settings);
        int profiles = settings.profiles.length;
        int tenants = settings.allowance.length;
        fleet = new Workers(regions, bins, profiles);
        pooledPairs = new double[regions][regions];
        profileWork = new double[profiles];
        runsSeen = new double[profiles];
        firstTryAge = new double[profiles];
        seen = new double[profiles];
        served = new double[profiles];
        hintsSeen = new double[profiles];
        hintLogMean = new double[profiles];
        hintWorkMean = new double[profiles];
        runLogMean = new double[profiles];
        runVar = new double[profiles];
        tenantRate = new double[tenants];
        tenantRateAt = new double[tenants];
    }

    /** Time constant with which reported load decays to the mean. */
    final double decaySpan() {
        return 8 * meanWork;
    }

    /** All estimates by name, for the next process of this scheduler. */
    public final Map<String, Object> learned() {
        LearnedSnapshot snapshot = LearnedSnapshot.writer();
        transfer(snapshot);
        snapshot.perWorker("own", fleet.ownSlots, fleet.count);
        return snapshot.fields();
    }

    /** Parts (machines, reports, tasks) of the last snapshot that could not be restored. */
    public final List<String> resetParts() {
        return resetParts;
    }

    /** When the worker is believed to have started, in Unix time; 0: long ago. */
    public final double startedAt(int w) {
        return fleet.startedAt[w];
    }

    /**
     * Transfers all estimates to or from the snapshot. Each part is restored only where its basis
     * is the same; otherwise it starts from its initial values.
     */
    final void transfer(LearnedSnapshot snapshot) {
        fleet.transferAvailability(snapshot);
        snapshot.basis("machines", basisOfMachines);
        fleet.transferMachines(snapshot);
        warmUp = snapshot.number("thaw", warmUp);
        standardPace = snapshot.number("unit", standardPace);
        snapshot.basis("reports", basisOfReports);
        fleet.transferReports(snapshot);
        reportsReceived = snapshot.flag("reportsCome", reportsReceived);
        reportsShowQueues = snapshot.flag("reportsQueue", reportsShowQueues);
        snapshot.basis("tasks", basisOfTasks);
        fleet.transferTasks(snapshot);
        for (int k = 0; k < pooledPairs.length; k++) {
            snapshot.numbers("pool." + k, pooledPairs[k]);
        }
        snapshot.numbers("profileWork", profileWork);
        snapshot.numbers("profileSeen", runsSeen);
        snapshot.numbers("youngest", firstTryAge);
        snapshot.numbers("came", seen);
        snapshot.numbers("served", served);
        snapshot.numbers("hintsSeen", hintsSeen);
        snapshot.numbers("hintLog", hintLogMean);
        snapshot.numbers("hintBend", hintWorkMean);
        snapshot.numbers("runLog", runLogMean);
        snapshot.numbers("runVar", runVar);
        snapshot.numbers("tenantRate", tenantRate);
        snapshot.numbers("tenantAt", tenantRateAt);
        hintVar = snapshot.number("hintVar", hintVar);
        hintRunCov = snapshot.number("hintRun", hintRunCov);
        meanWork = snapshot.number("mixWork", meanWork);
        commonPace = snapshot.number("tide", commonPace);
        meanWorth = snapshot.number("meanWorth", meanWorth);
        meanDensity = snapshot.number("meanDensity", meanDensity);
        queuedShare = snapshot.number("press", queuedShare);
        lateShare = snapshot.number("late", lateShare);
        fullShare = snapshot.number("full", fullShare);
        arrivalGap = snapshot.number("gap", arrivalGap);
        lastArrival = snapshot.number("lastArrival", lastArrival);
        firstArrival = snapshot.number("firstArrival", firstArrival);
        snapshot.clearBasis();
        resetParts = snapshot.resetParts();
    }
}
