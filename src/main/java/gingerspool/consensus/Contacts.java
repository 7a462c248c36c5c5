package gingerspool.consensus;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The machines that may know the leader. A member that knows no leader asks all of them: its voters
 * by the log, the seeds of its start, and whatever machines these answer with.
 */
final class Contacts {
    /** The most addresses that are kept of those that others named. */
    private static final int KNOWN_ADDRESSES_MOST = 32;

    /** Leases without a leader until a voter asks beyond the voters that it knows. */
    private static final double ASK_SEEDS_AFTER_LEASES = 2;

    private final ReplicaContext context;
    private final Election election;
    private final LinkedHashSet<String> knownAddresses = new LinkedHashSet<>();
    private double askAt;
    private double leaderHeardAt;

    Contacts(ReplicaContext context, Election election) {
        this.context = context;
        this.election = election;
        leaderHeardAt = context.now;
    }

    /** The addresses of the voters, and of all that may know the leader where that is not known. */
    Set<String> addresses(Set<Member> learners) {
        Set<String> addresses = new LinkedHashSet<>();
        context.log.voters().all().forEach(m -> addresses.add(m.ip()));
        context.log.votersAt(context.commitIndex).all().forEach(m -> addresses.add(m.ip()));
        learners.forEach(m -> addresses.add(m.ip()));
        if (context.leader != null) {
            addresses.add(context.leader.ip());
        }
        if (isLost()) {
            addresses.addAll(context.settings.seeds());
            addresses.addAll(knownAddresses);
        }
        addresses.remove(context.self.ip());
        return addresses;
    }

    /** Whether this member knows no leader, and could not find one among the voters it knows. */
    private boolean isLost() {
        return !knowsLeader() && (!context.isVoter() || context.now >= askSeedsFrom());
    }

    /** A voter first tries to have a leader elected by the voters it knows. */
    private double askSeedsFrom() {
        return leaderHeardAt + ASK_SEEDS_AFTER_LEASES * context.lease();
    }

    private boolean knowsLeader() {
        return context.role == ReplicaContext.Role.LEADER || election.leader(context.now) != null;
    }

    double nextTick() {
        return context.isVoter() ? Math.max(askAt, askSeedsFrom()) : askAt;
    }

    /** A leader was heard. */
    void heardLeader() {
        leaderHeardAt = context.now;
    }

    /** Asks all contacts while no leader is known. */
    void tick() {
        if (context.now < askAt) {
            return;
        }
        askAt = context.now + context.heartbeat();
        if (knowsLeader()) {
            leaderHeardAt = context.now;
        } else if (isLost()) {
            addresses(Set.of()).forEach(this::ask);
        }
    }

    private void ask(String address) {
        context.send(new Member(address, ""), new ConsensusMessage.JoinRequest(context.term));
    }

    /** Tells another where the leader and the members are. */
    void refer(Member to) {
        Member leader = election.leader(context.now);
        Set<String> known = addresses(Set.of());
        known.add(context.self.ip());
        context.send(
                to,
                new ConsensusMessage.Referral(
                        context.term, leader == null ? "" : leader.ip(), List.copyOf(known)));
    }

    void onReferral(ConsensusMessage.Referral referral) {
        referral.addresses().forEach(this::noteAddress);
        if (!referral.leader().isEmpty()) {
            noteAddress(referral.leader());
            if (!knowsLeader() && !referral.leader().equals(context.self.ip())) {
                ask(referral.leader());
            }
        }
    }

    /** The newest addresses are kept. */
    void noteAddress(String address) {
        knownAddresses.remove(address);
        knownAddresses.add(address);
        if (knownAddresses.size() > KNOWN_ADDRESSES_MOST) {
            knownAddresses.remove(knownAddresses.iterator().next());
        }
    }
}
