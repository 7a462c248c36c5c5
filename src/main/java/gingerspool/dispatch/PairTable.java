package gingerspool.dispatch;

/** p(k given O): counts of the region believed at a send against the region told afterwards. */
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

    /** The weight of a region, given the one believed: its count there and in all, from one on. */
    double weight(int w, int believed, int told) {
        return 1 + fleet.pairCounts[w][believed][told] + model.pooledPairs[believed][told];
    }

    /** Counts pairs of the region believed at a send and the one reported next, or met. */
    void count(int w, int believed, int told, int times) {
        if (times > 0) {
            fleet.pairCounts[w][believed][told] += times;
            model.pooledPairs[believed][told] += times;
            Workers.halve(fleet.pairCounts[w][believed], Estimates.SAMPLES);
            Workers.halve(model.pooledPairs[believed], Estimates.SAMPLES);
        }
    }

    private void count(Assignment a, int told) {
        count(a.worker, a.region, told, 1);
    }

    /** Counts the wait that a send met, as its start tells it. */
    void countWait(Assignment a) {
        double load = queue.loadFromWait(a.worker, model.now - a.sentAt);
        count(a, load < 1 ? Math.min(1, a.region) : QueuedWork.region(load));
    }

    /** Counts how late an answer was beyond the expected run, where nothing else shows the wait. */
    void countLateness(Assignment a) {
        if (queuesAreHidden()) {
            double wait = (model.now - a.sentAt - a.run) * speed.pace(a.worker) / model.meanWork;
            count(a, wait > 0.5 ? QueuedWork.region(1 + wait) : Math.min(1, a.region));
        }
    }

    /** A worker that was full had the top region. */
    void countFull(Assignment a, Outcome how) {
        if (model.notifiesStart && how == Outcome.FULL) {
            count(a, QueuedWork.REGIONS - 1);
        }
    }

    /** Whether neither reports nor start notes show queues: then lateness is counted. */
    boolean queuesAreHidden() {
        return !model.notifiesStart && !model.reportsShowQueues;
    }
}
