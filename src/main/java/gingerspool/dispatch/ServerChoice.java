package gingerspool.dispatch;

import static gingerspool.dispatch.Estimates.SAMPLES;

import java.util.SplittableRandom;

/** The location rule: scores the ready workers and picks at random among the near-best. */
final class ServerChoice {
    /** Scores this close to the best are alike (the design's figure). */
    static final double NEAR = 0.02;

    /** The least size of a buddy set. */
    static final int BUDDIES = 4;

    /** What a queue costs in score, since a task that joins it makes those behind it wait. */
    private static final double CROWDED = 0.2;

    private final Estimates known;
    private final Workers fleet;
    private final Speed speed;
    private final QueuedWork queued;
    private final LocalSends ownSends;
    private final ColdBudget coldBudget;
    private final Health health;
    private final Score score;
    private final SplittableRandom chance;

    /** The worker picked last, or -1, its score, and whether any was ready. */
    int best;

    double bestChance;
    boolean anyReady;

    ServerChoice(
            Estimates known,
            Speed speed,
            QueuedWork queued,
            LocalSends ownSends,
            ColdBudget coldBudget,
            Health health,
            Score score,
            SplittableRandom chance) {
        this.known = known;
        fleet = known.fleet;
        this.speed = speed;
        this.queued = queued;
        this.ownSends = ownSends;
        this.coldBudget = coldBudget;
        this.health = health;
        this.score = score;
        this.chance = chance;
    }

    /** Scores every ready worker for the task and picks at random among those near the best. */
    void weigh(Task task) {
        double top = Double.NEGATIVE_INFINITY;
        double crossing =
                known.crossFee * known.meanWorth / Math.max(task.worth, known.meanWorth * NEAR);
        // The paper's buddy sets: no more workers than our own traffic keeps us informed of.
        double room = Math.max(BUDDIES, known.fadeSpan() / known.arrivalGap);
        double away = Math.max(BUDDIES, room / 2);
        anyReady = false;
        score.prepare(task);
        int weighed = 0;
        int busyAll = 0;
        for (int i = 0; i < fleet.count; i++) {
            int w = fleet.order[i];
            fleet.value[w] = Double.NEGATIVE_INFINITY;
            // Cold workers are open to all dispatchers, since each has a share of them.
            boolean warm = speed.warmth(w, 1) >= 1;
            double here = fleet.zoneOf[w] == known.zone ? 1 : 0;
            if (warm && (here == 1 ? room : away) <= 0 || !ready(w, task)) {
                // Guards against trying a cut-off zone one by one: those avoided keep their seats.
                away -= warm && known.now < fleet.avoidUntil[w] ? 1 - here : 0;
                continue;
            }
            room -= warm ? here : 0;
            away -= warm ? 1 - here : 0;
            anyReady = true;
            ownSends.forgetOld(w);
            double c = score.chanceAt(task, w) * health.trust(w, task.profile.index);
            double load = queued.load(w, queued.othersNow(w));
            weighed++;
            busyAll += load < 1 ? 0 : 1;
            // Where reports hide queues, own sends pile up at slow workers: busy slots cost.
            double busy = known.reportsQueue ? 0 : Math.min(1, load) / 2;
            c -= CROWDED * (busy + (load < 1 ? 0 : 1 - 1 / load));
            for (int j = 0; j < task.tries; j++) {
                c = task.sent[j].worker == w ? c / 2 : c;
            }
            // Departure: a crossing costs its fee, in shares of what this task is worth.
            fleet.value[w] = c - (1 - here) * crossing;
            top = Math.max(top, fleet.value[w]);
        }
        known.fullShare +=
                weighed == 0 ? 0 : ((double) busyAll / weighed - known.fullShare) * 4 / SAMPLES;
        best = -1;
        for (int w = 0, near = 0; w < fleet.count && anyReady; w++) {
            best = fleet.value[w] >= top - NEAR && chance.nextInt(++near) == 0 ? w : best;
        }
        bestChance = best < 0 ? 0 : top;
    }

    /** Listed as running, of the task's kind, with room, not avoided, inside the cold budget. */
    private boolean ready(int w, Task t) {
        return fleet.state[w] == Dispatcher.RUNNING
                && !fleet.banned(w)
                && known.now >= fleet.avoidUntil[w]
                && !health.silent(w)
                && (t.profile.kind < 0 || fleet.kindOf[w] == t.profile.kind)
                && t.width <= speed.slotsOf(w)
                && t.memory <= speed.slotsOf(w)
                && inGroup(w, t)
                && coldBudget.inBudget(w, t.work)
                && !t.outAt(w)
                && fleet.out[w] < fleet.granted[w];
    }

    private boolean inGroup(int w, Task t) {
        if (t.ran == null || t.profile.effect != Profile.Effect.FINGERPRINTED) {
            return true;
        }
        int first = t.ran.worker;
        return switch (t.profile.scope) {
            case ALL -> true;
            case ZONE -> fleet.zoneOf[w] == fleet.zoneOf[first];
            case CELL -> fleet.cellOf[w] == fleet.cellOf[first];
        };
    }

    /** A place in an order of our own, so that dispatchers don't all lean on the same workers. */
    double rank(double size) {
        return -Math.log(chance.nextDouble()) / Math.max(0.1, size);
    }
}
