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
    private static final int MAX_KNOWN_ADDRESSES = 32;

    /** Leases without a leader until a voter asks beyond the voters that it knows. */
    private static final double WIDEN_SEARCH_AFTER_LEASES = 2;

    private final ReplicaContext context;
    private final Election election;
    private final LinkedHashSet<String> knownAddresses = new LinkedHashSet<>();
    private double nextRequestAt;
    private double leaderLastSeenAt;

    Contacts(ReplicaContext context, Election election) {
        this.context = context;
        this.election = election;
        leaderLastSeenAt = context.now;
    }

    /** The addresses of the voters, and of all that may know the leader where that is not known. */
    Set<String> addresses(Set<Member> learners) {
        Set<String> addresses = new LinkedHashSet<>();
        context.log.voters().all().forEach(member -> addresses.add(member.ip()));
        context.log
                .votersAt(context.commitIndex)
                .all()
                .forEach(member -> addresses.add(member.ip()));
        learners.forEach(member -> addresses.add(member.ip()));
        if (context.leader != null) {
            addresses.add(context.leader.ip());
        }
        if (isSearching()) {
            addresses.addAll(context.settings.seedAddresses());
            addresses.addAll(knownAddresses);
        }
        addresses.remove(context.self.ip());
        return addresses;
    }

    /** Whether this member knows no leader, and could not find one among the voters it knows. */
    private boolean isSearching() {
        return !knowsLeader() && (!context.isVoter() || context.now >= widenSearchAt());
    }

    /** A voter first tries to have a leader elected by the voters it knows. */
    private double widenSearchAt() {
        return leaderLastSeenAt + WIDEN_SEARCH_AFTER_LEASES * context.leaseMs();
    }

    private boolean knowsLeader() {
        return context.role == ReplicaContext.Role.LEADER || election.leader(context.now) != null;
    }

    double nextTick() {
        return context.isVoter() ? Math.max(nextRequestAt, widenSearchAt()) : nextRequestAt;
    }

    /** A leader was heard. */
    void onLeaderMessage() {
        leaderLastSeenAt = context.now;
    }

    /** Asks all contacts while no leader is known. */
    void tick() {
        if (context.now < nextRequestAt) {
            return;
        }
        nextRequestAt = context.now + context.heartbeatIntervalMs();
        if (knowsLeader()) {
            leaderLastSeenAt = context.now;
        } else if (isSearching()) {
            addresses(Set.of()).forEach(this::sendJoinRequest);
        }
    }

    private void sendJoinRequest(String address) {
        context.send(new Member(address, ""), new ConsensusMessage.JoinRequest(context.term));
    }

    /** Tells another where the leader and the members are. */
    void sendReferral(Member to) {
        Member leader = election.leader(context.now);
        Set<String> known = addresses(Set.of());
        known.add(context.self.ip());
        context.send(
                to,
                new ConsensusMessage.Referral(
                        context.term, leader == null ? "" : leader.ip(), List.copyOf(known)));
    }

    void onReferral(ConsensusMessage.Referral referral) {
        referral.addresses().forEach(this::addKnownAddress);
        if (!referral.leader().isEmpty()) {
            addKnownAddress(referral.leader());
            if (!knowsLeader() && !referral.leader().equals(context.self.ip())) {
                sendJoinRequest(referral.leader());
            }
        }
    }

    /** The newest addresses are kept. */
    void addKnownAddress(String address) {
        knownAddresses.remove(address);
        knownAddresses.add(address);
        if (knownAddresses.size() > MAX_KNOWN_ADDRESSES) {
            knownAddresses.remove(knownAddresses.iterator().next());
        }
    }
}
