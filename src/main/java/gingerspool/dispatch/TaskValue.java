package gingerspool.dispatch;

/** Computes what a task is worth to the goal, and its due time. */
final class TaskValue {
    private final Estimates model;

    TaskValue(Estimates model) {
        this.model = model;
    }

    /** Due time in ms, counted from the client's first try. */
    double due(Task t) {
        int p = t.profile.index;
        // The expiry shows a client retry's age: the due time of the first try still applies.
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

    /** Counts an answer as served unless it is late. */
    void answered(Task t) {
        model.served[t.profile.index] += model.now > t.due ? 0 : model.byWork ? t.work : 1;
    }

    /**
     * Extra worth of a task of the worst-served profile: besides the overall goal it counts for
     * that profile's part of the goal, which is spread over that profile's tasks only.
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

    /** Expected utility factor: below 1 if the tenant exceeds its allowance (per second). */
    double tenantShare(Task t) {
        if (t.tenant < 0) {
            return 1;
        }
        int i = t.tenant;
        double secondMs = 1000;
        double elapsed = Math.min(1, (model.now - model.tenantRateAt[i]) / (5 * secondMs));
        model.tenantRate[i] = model.tenantRate[i] * (1 - elapsed) + 1 / 5.0;
        model.tenantRateAt[i] = model.now;
        double share = model.allowance[i] / (model.tenantRate[i] * model.dispatchers);
        return share >= 1 ? 1 : share + (1 - share) * model.excessUtility;
    }
}
