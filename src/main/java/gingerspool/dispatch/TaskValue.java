package gingerspool.dispatch;

/** What a task is worth, and until when. */
final class TaskValue {
    private final Estimates model;

    TaskValue(Estimates model) {
        this.model = model;
    }

    /** The due time counts from the client's first try. */
    double due(Task t) {
        int p = t.profile.index;
        // The expiry tells a later try's age: none is served after the due time of the first.
        double age = model.now - t.expiry + t.profile.expiry;
        model.firstTryAge[p] = Math.min(model.firstTryAge[p], age);
        double due =
                model.now
                        - Math.max(0, age - model.firstTryAge[p])
                        + t.profile.dueTime
                        + t.profile.stretch * t.work;
        return Math.min(t.expiry, due);
    }

    double worthOf(Task t) {
        double worth =
                (t.profile.utility + worstBonus(t)) * (model.byWork ? t.work : 1) * tenantShare(t);
        model.meanWorth += (worth - model.meanWorth) / Estimates.SAMPLES;
        return worth;
    }

    /** An answer came; what is late serves nobody. */
    void answered(Task t) {
        model.served[t.profile.index] += model.now > t.due ? 0 : model.byWork ? t.work : 1;
    }

    /**
     * What a task of the profile served worst is worth beyond its utility: it counts in the whole,
     * and its profile's part of the goal besides, which is spread over that profile's tasks only.
     */
    private double worstBonus(Task t) {
        int p = t.profile.index;
        double all = 0;
        int worst = p;
        model.seen[p] += model.byWork ? t.work : 1;
        for (int q = 0; q < model.profiles.length; q++) {
            model.seen[q] -= model.seen[q] / (4 * Estimates.SAMPLES);
            model.served[q] -= model.served[q] / (4 * Estimates.SAMPLES);
            all += model.seen[q] * model.profiles[q].utility;
            worst = servedShare(q) < servedShare(worst) ? q : worst;
        }
        return worst != p ? 0 : model.worstWeight / (1 - model.worstWeight) * all / model.seen[p];
    }

    private double servedShare(int p) {
        double prior = 8 * (model.byWork ? model.profileWork[p] : 1);
        return (model.served[p] + prior) / (model.seen[p] + prior);
    }

    /** What a task's utility is cut to, in expectation, if its tenant is over its allowance. */
    double tenantShare(Task t) {
        if (t.tenant < 0) {
            return 1;
        }
        int i = t.tenant;
        double span = 1000;
        double past = Math.min(1, (model.now - model.tenantRateAt[i]) / (5 * span));
        model.tenantRate[i] = model.tenantRate[i] * (1 - past) + 1 / 5.0;
        model.tenantRateAt[i] = model.now;
        double share = model.allowance[i] / (model.tenantRate[i] * model.dispatchers);
        return share >= 1 ? 1 : share + (1 - share) * model.excessUtility;
    }
}
