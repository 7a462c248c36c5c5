package gingerspool.dispatch;

import static gingerspool.dispatch.Estimates.SAMPLES;

import java.util.SplittableRandom;

/** Chooses a worker: scores those that are ready and picks at random among the near-best. */
final class ServerChoice {
    /** Scores this close to the best count as equal (from the design). */
    static final double TOLERANCE = 0.02;

    /** Lower bound of the limit on warm candidates, in the own zone and in others. */
    static final int MIN_CANDIDATES = 4;

    /** Score penalty of a full queue, since a task that joins it delays later arrivals. */
    private static final double QUEUE_PENALTY = 0.2;

    private final Estimates model;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queue;
    private final LocalSends localSends;
    private final ColdBudget coldBudget;
    private final Health health;
    private final Score score;
    private final SplittableRandom random;

    /** Result of choose(): the worker or -1, the top score, and whether any worker was ready. */
    int best;

    double bestScore;
    boolean anyReady;

    ServerChoice(
            Estimates model,
            Speed speed,
            QueuedWork queue,
            LocalSends localSends,
            ColdBudget coldBudget,
            Health health,
            Score score,
            SplittableRandom random) {
        this.model = model;
        fleet = model.fleet;
        this.speed = speed;
        this.queue = queue;
        this.localSends = localSends;
        this.coldBudget = coldBudget;
        this.health = health;
        this.score = score;
        this.random = random;
    }

    /** Scores the ready workers for the task and picks at random among those near the best. */
    void choose(Task task) {
        double top = Double.NEGATIVE_INFINITY;
        double crossingCost =
                model.zoneFee * model.meanWorth / Math.max(task.worth, model.meanWorth * TOLERANCE);
        // Bounds the candidates (the paper's buddy sets) to those our traffic keeps up to date.
        double localLeft = Math.max(MIN_CANDIDATES, model.decaySpan() / model.arrivalGap);
        double remoteLeft = Math.max(MIN_CANDIDATES, localLeft / 2);
        anyReady = false;
        score.sampleWork(task);
        int scored = 0;
        int full = 0;
        for (int i = 0; i < fleet.count; i++) {
            int w = fleet.order[i];
            fleet.score[w] = Double.NEGATIVE_INFINITY;
            // Cold workers are always candidates: every dispatcher has a share of their budget.
            boolean warm = speed.warmth(w, 1) >= 1;
            double local = fleet.zoneOf[w] == model.zone ? 1 : 0;
            if (warm && (local == 1 ? localLeft : remoteLeft) <= 0 || !ready(w, task)) {
                // Guards against trying a cut-off zone one by one: avoided ones use up the limit.
                remoteLeft -= warm && model.now < fleet.avoidUntil[w] ? 1 - local : 0;
                continue;
            }
            localLeft -= warm ? local : 0;
            remoteLeft -= warm ? 1 - local : 0;
            anyReady = true;
            localSends.dropExpired(w);
            double value = score.probabilityAt(task, w) * health.reliability(w, task.profile.index);
            double load = queue.load(w, queue.peerJobs(w));
            scored++;
            full += load < 1 ? 0 : 1;
            // Reports without queue lengths let sends pile up at slow workers: penalize busy slots.
            double busy = model.reportsShowQueues ? 0 : Math.min(1, load) / 2;
            value -= QUEUE_PENALTY * (busy + (load < 1 ? 0 : 1 - 1 / load));
            for (int j = 0; j < task.tries; j++) {
                value = task.assignments[j].worker == w ? value / 2 : value;
            }
            // Departure from the design: the cross-zone fee, relative to the task's worth.
            fleet.score[w] = value - (1 - local) * crossingCost;
            top = Math.max(top, fleet.score[w]);
        }
        model.fullShare +=
                scored == 0 ? 0 : ((double) full / scored - model.fullShare) * 4 / SAMPLES;
        best = -1;
        for (int w = 0, ties = 0; w < fleet.count && anyReady; w++) {
            best = fleet.score[w] >= top - TOLERANCE && random.nextInt(++ties) == 0 ? w : best;
        }
        bestScore = best < 0 ? 0 : top;
    }

    /** Whether the worker may get the task now: running, suitable, healthy, and within limits. */
    private boolean ready(int w, Task t) {
        return fleet.state[w] == Dispatcher.RUNNING
                && !fleet.isSuspended(w)
                && model.now >= fleet.avoidUntil[w]
                && !health.isProbeOverdue(w)
                && (t.profile.kind < 0 || fleet.kindOf[w] == t.profile.kind)
                && t.width <= speed.slotsOf(w)
                && t.memory <= speed.slotsOf(w)
                && inRetryScope(w, t)
                && coldBudget.inBudget(w, t.work)
                && !t.isInFlightAt(w)
                && fleet.inFlight[w] < fleet.grantedSlots[w];
    }

    private boolean inRetryScope(int w, Task t) {
        if (t.firstRun == null || t.profile.effect != Profile.Effect.FINGERPRINTED) {
            return true;
        }
        int first = t.firstRun.worker;
        return switch (t.profile.scope) {
            case ALL -> true;
            case ZONE -> fleet.zoneOf[w] == fleet.zoneOf[first];
            case CELL -> fleet.cellOf[w] == fleet.cellOf[first];
        };
    }

    /** Size-weighted random rank, so that dispatchers prefer different workers. */
    double randomRank(double size) {
        return -Math.log(random.nextDouble()) / Math.max(0.1, size);
    }
}
