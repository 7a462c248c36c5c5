package gingerspool.dispatch;

/** What a task is worth, and until when. */
final class TaskValue {
    private final Estimates known;

    TaskValue(Estimates known) {
        this.known = known;
    }

    /** The due time counts from the client's first try. */
    double due(Task t) {
        int p = t.profile.index;
        // The expiry tells a later try's age: none is served after the due time of the first.
        double age = known.now - t.expiry + t.profile.expiry;
        known.firstTryAge[p] = Math.min(known.firstTryAge[p], age);
        double due =
                known.now
                        - Math.max(0, age - known.firstTryAge[p])
                        + t.profile.dueTime
                        + t.profile.stretch * t.work;
        return Math.min(t.expiry, due);
    }

    double of(Task t) {
        double worth =
                (t.profile.utility + worstBonus(t)) * (known.byWork ? t.work : 1) * withinShare(t);
        known.meanWorth += (worth - known.meanWorth) / Estimates.SAMPLES;
        return worth;
    }

    /** An answer came; what is late serves nobody. */
    void answered(Task t) {
        known.served[t.profile.index] += known.now > t.due ? 0 : known.byWork ? t.work : 1;
    }

    /**
     * What a task of the profile served worst is worth beyond its utility: it counts in the whole,
     * and its profile's part of the goal besides, which is spread over that profile's tasks only.
     */
    private double worstBonus(Task t) {
        int p = t.profile.index;
        double all = 0;
        int worst = p;
        known.came[p] += known.byWork ? t.work : 1;
        for (int q = 0; q < known.profiles.length; q++) {
            known.came[q] -= known.came[q] / (4 * Estimates.SAMPLES);
            known.served[q] -= known.served[q] / (4 * Estimates.SAMPLES);
            all += known.came[q] * known.profiles[q].utility;
            worst = shareServed(q) < shareServed(worst) ? q : worst;
        }
        return worst != p ? 0 : known.worstWeight / (1 - known.worstWeight) * all / known.came[p];
    }

    private double shareServed(int p) {
        double prior = 8 * (known.byWork ? known.profileWork[p] : 1);
        return (known.served[p] + prior) / (known.came[p] + prior);
    }

    /** What a task's utility is cut to, in expectation, if its tenant is over its allowance. */
    double withinShare(Task t) {
        if (t.tenant < 0) {
            return 1;
        }
        int i = t.tenant;
        double span = 1000;
        double past = Math.min(1, (known.now - known.tenantAt[i]) / (5 * span));
        known.tenantRate[i] = known.tenantRate[i] * (1 - past) + 1 / 5.0;
        known.tenantAt[i] = known.now;
        double share = known.allowance[i] / (known.tenantRate[i] * known.dispatchers);
        return share >= 1 ? 1 : share + (1 - share) * known.excess;
    }
}
