package gingerspool.controlplane;

import gingerspool.consensus.Replica;
import java.util.function.LongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Begins the leader's duties once it leads, and ends them when its term is over: when it was not
 * elected for the present one, or has stepped down, as it does without a lease. They don't end with
 * a lease that lapses and is renewed in the same term, since nobody else can have led meanwhile;
 * each of their actions asks for the lease itself. So they begin once a term at the most, and names
 * that are made from the term are never used twice.
 */
final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    private final Replica replica;
    private final LongFunction<LeaderDuties> beginDuties;
    private final Runnable endDuties;
    private LeaderDuties duties;
    private long term;

    /**
     * The duties of a term are made by the first, and what else hangs on them ends by the second.
     */
    Leadership(Replica replica, LongFunction<LeaderDuties> beginDuties, Runnable endDuties) {
        this.replica = replica;
        this.beginDuties = beginDuties;
        this.endDuties = endDuties;
    }

    /** The duties at hand, or null. */
    LeaderDuties duties() {
        return duties;
    }

    /** To be called after whatever the replica was told. */
    void update(double now) {
        if (duties != null && (!replica.isElected() || replica.term() != term)) {
            LOG.info("duty.ended term={}", term);
            duties.end();
            duties = null;
            endDuties.run();
        }
        if (duties == null && replica.isActiveLeader(now)) {
            term = replica.term();
            LOG.info("duty.started term={} members={}", term, replica.members());
            duties = beginDuties.apply(term);
        }
    }
}
