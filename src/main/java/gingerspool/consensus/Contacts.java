package gingerspool.consensus;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The machines that may know the leader. A member that knows no leader asks all of them: the voters
 * in its log, the seed addresses, and the machines that other members referred it to. Called by
 * {@link Replica}; times are in milliseconds.
 */
final class Contacts {
    /** The most addresses kept that were learned from other members. */
    private static final int MAX_KNOWN_ADDRESSES = 32;

    /** The time without a leader after which a voter asks more than the voters, in leases. */
    private static final double WIDEN_SEARCH_AFTER_LEASES = 2;

    private final ReplicaContext context;
    private final Election election;

    /** The addresses learned from other members, the newest last. */
    private final LinkedHashSet<String> knownAddresses = new LinkedHashSet<>();

    private double nextRequestAt;

    /** When a leader was last known. */
    private double leaderLastSeenAt;

    Contacts(ReplicaContext context, Election election) {
        this.context = context;
        this.election = election;
        leaderLastSeenAt = context.now;
    }

    /**
     * The addresses of the voters, the given learners and the leader; while this member searches
     * for a leader, also the seed addresses and those learned from other members.
     */
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

    /**
     * Whether this member knows no leader and asks all contacts for one: a learner at once, a voter
     * only after the voters had time to elect one.
     */
    private boolean isSearching() {
        return !knowsLeader() && (!context.isVoter() || context.now >= widenSearchAt());
    }

    /** When a voter starts to ask all contacts. Until then the known voters may elect a leader. */
    private double widenSearchAt() {
        return leaderLastSeenAt + WIDEN_SEARCH_AFTER_LEASES * context.leaseMs();
    }

    private boolean knowsLeader() {
        return context.role == ReplicaContext.Role.LEADER || election.leader(context.now) != null;
    }

    /** The time of the next request for a leader, if none is known then. */
    double nextTick() {
        return context.isVoter() ? Math.max(nextRequestAt, widenSearchAt()) : nextRequestAt;
    }

    /** Called when a message from the leader was accepted. */
    void onLeaderMessage() {
        leaderLastSeenAt = context.now;
    }

    /** Asks all contacts, once per heartbeat interval, while no leader is known. */
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

    /** Tells another member the addresses of the leader and of the other contacts. */
    void sendReferral(Member to) {
        Member leader = election.leader(context.now);
        Set<String> known = addresses(Set.of());
        known.add(context.self.ip());
        context.send(
                to,
                new ConsensusMessage.Referral(
                        context.term, leader == null ? "" : leader.ip(), List.copyOf(known)));
    }

    /** Records the addresses, and sends a join request to the named leader if none is known. */
    void onReferral(ConsensusMessage.Referral referral) {
        referral.addresses().forEach(this::addKnownAddress);
        if (!referral.leader().isEmpty()) {
            addKnownAddress(referral.leader());
            if (!knowsLeader() && !referral.leader().equals(context.self.ip())) {
                sendJoinRequest(referral.leader());
            }
        }
    }

    /** Records an address; drops the oldest one if there are too many. */
    void addKnownAddress(String address) {
        knownAddresses.remove(address);
        knownAddresses.add(address);
        if (knownAddresses.size() > MAX_KNOWN_ADDRESSES) {
            knownAddresses.remove(knownAddresses.iterator().next());
        }
    }
}
