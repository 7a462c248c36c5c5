package gingerspool.dispatch;

/** Learns p(k given O): counts pairs of the region believed at a send and the one observed. */
final class PairTable {
    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queue;

    PairTable(Estimates model, Speed speed, QueuedWork queue) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
        this.queue = queue;
    }

    /** Weight of an observed region given the believed one: worker and pooled counts, plus 1. */
    double weight(int w, int believed, int observed) {
        return 1 + fleet.pairCounts[w][believed][observed] + model.pooledPairs[believed][observed];
    }

    /** Counts pairs of the region believed at a send and the one observed afterwards. */
    void count(int w, int believed, int observed, int times) {
        if (times > 0) {
            fleet.pairCounts[w][believed][observed] += times;
            model.pooledPairs[believed][observed] += times;
            Workers.halve(fleet.pairCounts[w][believed], Estimates.SAMPLES);
            Workers.halve(model.pooledPairs[believed], Estimates.SAMPLES);
        }
    }

    private void count(Assignment a, int observed) {
        count(a.worker, a.region, observed, 1);
    }

    /** Counts the wait that a start notice shows. */
    void countWait(Assignment a) {
        double load = queue.loadFromWait(a.worker, model.now - a.sentAt);
        count(a, load < 1 ? Math.min(1, a.region) : QueuedWork.region(load));
    }

    /** Counts the delay beyond the expected run, where nothing else shows the wait. */
    void countLateness(Assignment a) {
        if (queuesAreHidden()) {
            double wait = (model.now - a.sentAt - a.run) * speed.pace(a.worker) / model.meanWork;
            count(a, wait > 0.5 ? QueuedWork.region(1 + wait) : Math.min(1, a.region));
        }
    }

    /** A worker that refused as full was in the top region. */
    void countFull(Assignment a, Outcome outcome) {
        if (model.notifiesStart && outcome == Outcome.FULL) {
            count(a, QueuedWork.REGIONS - 1);
        }
    }

    /** Whether neither reports nor start notices show queues, so lateness is counted instead. */
    boolean queuesAreHidden() {
        return !model.notifiesStart && !model.reportsShowQueues;
    }
}
