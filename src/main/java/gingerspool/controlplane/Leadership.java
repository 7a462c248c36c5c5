package gingerspool.controlplane;

import gingerspool.consensus.Replica;
import java.util.function.LongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts the leader's duties when this member becomes the active leader, and ends them when its
 * term is over: when the replica has moved to another term, or has stepped down, for example
 * because it could not renew its lease.
 *
 * <p>A lease that lapses and is renewed within the term does not end the duties: no other member
 * can have led in between, and each action of the duties checks the lease itself. The duties
 * therefore start at most once per term, so names derived from the term are never used twice. Owned
 * by {@link ClusterMember}; runs on the event loop.
 */
final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    private final Replica replica;
    private final LongFunction<LeaderDuties> beginDuties;
    private final Runnable endDuties;
    private LeaderDuties duties;
    private long term;

    /**
     * {@code beginDuties} creates the duties of a term; {@code endDuties} runs after they have
     * ended.
     */
    Leadership(Replica replica, LongFunction<LeaderDuties> beginDuties, Runnable endDuties) {
        this.replica = replica;
        this.beginDuties = beginDuties;
        this.endDuties = endDuties;
    }

    /** The current duties, or null if this member does not lead. */
    LeaderDuties duties() {
        return duties;
    }

    /** Must be called after every change of the replica's state. */
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
