package gingerspool.dispatch;

import static gingerspool.dispatch.Estimates.SAMPLES;

import java.util.SplittableRandom;

/** The location rule: scores the ready workers and picks at random among the near-best. */
final class ServerChoice {
    /** Scores this close to the best are alike (the design's figure). */
    static final double TOLERANCE = 0.02;

    /** The least size of a buddy set. */
    static final int MIN_CANDIDATES = 4;

    /** What a queue costs in score, since a task that joins it makes those behind it wait. */
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

    /** The worker picked last, or -1, its score, and whether any was ready. */
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

    /** Scores every ready worker for the task and picks at random among those near the best. */
    void choose(Task task) {
        double top = Double.NEGATIVE_INFINITY;
        double crossing =
                model.zoneFee * model.meanWorth / Math.max(task.worth, model.meanWorth * TOLERANCE);
        // The paper's buddy sets: no more workers than our own traffic keeps us informed of.
        double room = Math.max(MIN_CANDIDATES, model.decaySpan() / model.arrivalGap);
        double away = Math.max(MIN_CANDIDATES, room / 2);
        anyReady = false;
        score.sampleWork(task);
        int weighed = 0;
        int busyAll = 0;
        for (int i = 0; i < fleet.count; i++) {
            int w = fleet.order[i];
            fleet.score[w] = Double.NEGATIVE_INFINITY;
            // Cold workers are open to all dispatchers, since each has a share of them.
            boolean warm = speed.warmth(w, 1) >= 1;
            double here = fleet.zoneOf[w] == model.zone ? 1 : 0;
            if (warm && (here == 1 ? room : away) <= 0 || !ready(w, task)) {
                // Guards against trying a cut-off zone one by one: those avoided keep their seats.
                away -= warm && model.now < fleet.avoidUntil[w] ? 1 - here : 0;
                continue;
            }
            room -= warm ? here : 0;
            away -= warm ? 1 - here : 0;
            anyReady = true;
            localSends.dropExpired(w);
            double c = score.probabilityAt(task, w) * health.reliability(w, task.profile.index);
            double load = queue.load(w, queue.peerJobs(w));
            weighed++;
            busyAll += load < 1 ? 0 : 1;
            // Where reports hide queues, own sends pile up at slow workers: busy slots cost.
            double busy = model.reportsShowQueues ? 0 : Math.min(1, load) / 2;
            c -= QUEUE_PENALTY * (busy + (load < 1 ? 0 : 1 - 1 / load));
            for (int j = 0; j < task.tries; j++) {
                c = task.assignments[j].worker == w ? c / 2 : c;
            }
            // Departure: a crossing costs its fee, in shares of what this task is worth.
            fleet.score[w] = c - (1 - here) * crossing;
            top = Math.max(top, fleet.score[w]);
        }
        model.fullShare +=
                weighed == 0 ? 0 : ((double) busyAll / weighed - model.fullShare) * 4 / SAMPLES;
        best = -1;
        for (int w = 0, near = 0; w < fleet.count && anyReady; w++) {
            best = fleet.score[w] >= top - TOLERANCE && random.nextInt(++near) == 0 ? w : best;
        }
        bestScore = best < 0 ? 0 : top;
    }

    /** Listed as running, of the task's kind, with room, not avoided, inside the cold budget. */
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

    /** A place in an order of our own, so that dispatchers don't all lean on the same workers. */
    double randomRank(double size) {
        return -Math.log(random.nextDouble()) / Math.max(0.1, size);
    }
}
