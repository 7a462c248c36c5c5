package gingerspool.dispatch;

import java.util.List;
import java.util.Map;

/** What a Dispatcher has learned: figures only, and how they pass from one process to the next. */
abstract class Estimates extends Parameters {
    /** N_S: pair rows, mixes and running times look back over about this many samples. */
    static final int SAMPLES = 64;

    final Workers fleet;
    final double[][] pooledPairs;
    final double[] profileWork;
    final double[] runsSeen;

    /** Least time that a task of the profile had been under way when it came. */
    final double[] firstTryAge;

    /** Work that came lately, and what of it was answered in time. */
    final double[] seen;

    final double[] served;
    final double[] hintsSeen;
    final double[] hintLogMean;
    final double[] hintWorkMean;
    final double[] runLogMean;
    final double[] runVar;
    double hintVar = 16;
    double hintRunCov = 8;
    double meanWork;

    /** How many times sooner than promised cold workers get warm, as their answers show. */
    double warmUp = 4;

    /** Pace that counts as a standard core's. */
    double standardPace = 1;

    /** Logarithm of the whole fleet's pace lately over what its kinds have shown. */
    double commonPace;

    double meanWorth;
    double meanDensity;

    /** Share of tasks that met no free slot lately. */
    double queuedShare;

    /** Share of answers that came after the due time lately. */
    double lateShare;

    /** Share of the workers weighed that were believed full, lately. */
    double fullShare;

    /** Time between tasks that come to us. */
    double arrivalGap;

    double lastArrival;
    double firstArrival = Double.NaN;
    final double[] tenantRate;
    final double[] tenantRateAt;

    /** The time of the input being handled. */
    double now;

    boolean reportsReceived;
    boolean reportsShowQueues;
    private List<String> resetParts = List.of();

    Estimates(DispatcherSettings s, int regions, int bins) {
        super(s);
        int profiles = s.profiles.length;
        int tenants = s.allowance.length;
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

    final double decaySpan() {
        return 8 * meanWork;
    }

    /** All that is learned, under names, for the next process of this scheduler. */
    public final Map<String, Object> learned() {
        LearnedSnapshot m = LearnedSnapshot.writer();
        transfer(m);
        m.perWorker("own", fleet.ownSlots, fleet.count);
        return m.fields();
    }

    /** The parts of what was last told us that were not taken: machines, reports, tasks. */
    public final List<String> afresh() {
        return resetParts;
    }

    /** When the worker is held to have started, at Unix time; 0 for long ago. */
    public final double startedAt(int w) {
        return fleet.startedAt[w];
    }

    /**
     * Each part passes only to a process for which it means the same; the rest begins afresh there.
     */
    final void transfer(LearnedSnapshot m) {
        fleet.transferAvailability(m);
        m.basis("machines", basisOfMachines);
        fleet.transferMachines(m);
        warmUp = m.number("thaw", warmUp);
        standardPace = m.number("unit", standardPace);
        m.basis("reports", basisOfReports);
        fleet.transferReports(m);
        reportsReceived = m.flag("reportsCome", reportsReceived);
        reportsShowQueues = m.flag("reportsQueue", reportsShowQueues);
        m.basis("tasks", basisOfTasks);
        fleet.transferTasks(m);
        for (int k = 0; k < pooledPairs.length; k++) {
            m.numbers("pool." + k, pooledPairs[k]);
        }
        m.numbers("profileWork", profileWork);
        m.numbers("profileSeen", runsSeen);
        m.numbers("youngest", firstTryAge);
        m.numbers("came", seen);
        m.numbers("served", served);
        m.numbers("hintsSeen", hintsSeen);
        m.numbers("hintLog", hintLogMean);
        m.numbers("hintBend", hintWorkMean);
        m.numbers("runLog", runLogMean);
        m.numbers("runVar", runVar);
        m.numbers("tenantRate", tenantRate);
        m.numbers("tenantAt", tenantRateAt);
        hintVar = m.number("hintVar", hintVar);
        hintRunCov = m.number("hintRun", hintRunCov);
        meanWork = m.number("mixWork", meanWork);
        commonPace = m.number("tide", commonPace);
        meanWorth = m.number("meanWorth", meanWorth);
        meanDensity = m.number("meanDensity", meanDensity);
        queuedShare = m.number("press", queuedShare);
        lateShare = m.number("late", lateShare);
        fullShare = m.number("full", fullShare);
        arrivalGap = m.number("gap", arrivalGap);
        lastArrival = m.number("lastArrival", lastArrival);
        firstArrival = m.number("firstArrival", firstArrival);
        m.clearBasis();
        resetParts = m.afresh();
    }
}
