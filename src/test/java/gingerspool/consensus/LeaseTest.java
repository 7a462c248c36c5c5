package gingerspool.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * The lease that a member grants to a leader, and how it is honoured after a restart. Drives a
 * single replica with hand-made messages.
 */
public class LeaseTest {
    private static final double LEASE_MS = 600;
    private static final Member SELF = new Member("10.0.0.1", "m");
    private static final Member OLD_LEADER = new Member("10.0.0.2", "m");
    private static final Member NEW_LEADER = new Member("10.0.0.3", "m");

    private final List<ConsensusMessage> sentMessages = new ArrayList<>();
    private LogWrite lastWrite;

    private final ReplicaEnvironment environment =
            new ReplicaEnvironment() {
                @Override
                public void send(Member to, ConsensusMessage message) {
                    sentMessages.add(message);
                }

                @Override
                public void persist(LogWrite write) {
                    lastWrite = write;
                }

                @Override
                public void apply(long index, byte[] command) {}

                @Override
                public void restore(long index, byte[] state) {}

                @Override
                public byte[] snapshotState() {
                    return new byte[0];
                }
            };

    /** A replica that restarts with a durable vote for the given member in term 3. */
    private Replica restartedWithVoteFor(Member votedFor) {
        sentMessages.clear();
        PersistedState disk =
                new PersistedState(
                        SELF,
                        3,
                        votedFor,
                        new Snapshot(0, 0, List.of(SELF, OLD_LEADER, NEW_LEADER), null),
                        List.of());
        return new Replica(
                SELF,
                disk,
                List.of(),
                new ReplicaSettings(1, LEASE_MS, List.of(), 1),
                0,
                environment);
    }

    private ConsensusMessage.AppendReply appendReply(int index) {
        return (ConsensusMessage.AppendReply) sentMessages.get(index);
    }

    @Test
    public void heartbeatCountsForLeaseOnceVoteIsDurable() {
        Replica replica = restartedWithVoteFor(OLD_LEADER);
        replica.receive(
                1000, NEW_LEADER, new ConsensusMessage.AppendEntries(4, 0, 0, List.of(), 0, 990));
        assertEquals(
                appendReply(0).sentAt(),
                Double.NEGATIVE_INFINITY,
                "a restart would forget the vote");
        assertEquals(lastWrite.term(), 4);
        assertEquals(lastWrite.votedFor(), NEW_LEADER);
        replica.persisted(1010, lastWrite.ticket());
        assertEquals(appendReply(1).sentAt(), 990.0);
        replica.receive(
                1100, NEW_LEADER, new ConsensusMessage.AppendEntries(4, 0, 0, List.of(), 0, 1090));
        assertEquals(appendReply(2).sentAt(), 1090.0, "later heartbeats count at once");
    }

    @Test
    public void restartedVoterGrantsOnlyTheLeaseHolder() {
        Replica replica = restartedWithVoteFor(OLD_LEADER);
        replica.receive(10, NEW_LEADER, new ConsensusMessage.RequestVote(4, 3, 5));
        assertTrue(
                !((ConsensusMessage.VoteReply) sentMessages.get(0)).granted(),
                "the lease of term 3 may not have ended");
        replica.receive(20, OLD_LEADER, new ConsensusMessage.RequestVote(4, 3, 5));
        replica.persisted(25, lastWrite.ticket());
        assertTrue(
                ((ConsensusMessage.VoteReply) sentMessages.get(1)).granted(),
                "a candidate holds no lease");
        replica.receive(30, OLD_LEADER, new ConsensusMessage.RequestVote(4, 3, 5));
        assertTrue(
                ((ConsensusMessage.VoteReply) sentMessages.get(2)).granted(),
                "granted again, as the reply may be lost");
        replica.receive(700, NEW_LEADER, new ConsensusMessage.RequestVote(4, 3, 5));
        assertTrue(
                !((ConsensusMessage.VoteReply) sentMessages.get(3)).granted(), "one vote per term");
    }

    @Test
    public void formerLeaderStandsAtOnceAndRepeatsRequests() {
        Replica replica = restartedWithVoteFor(SELF);
        double firstTick = replica.nextTick();
        assertTrue(firstTick < LEASE_MS / 4, "election starts at " + firstTick);
        replica.tick(firstTick);
        assertEquals(
                sentMessages,
                List.of(
                        new ConsensusMessage.PreVote(4, 0, 0),
                        new ConsensusMessage.PreVote(4, 0, 0)));
        sentMessages.clear();
        replica.receive(firstTick + 2, OLD_LEADER, new ConsensusMessage.PreVoteReply(4, true, 3));
        assertEquals(sentMessages.size(), 0, "its own vote is not durable yet");
        replica.persisted(firstTick + 5, lastWrite.ticket());
        assertEquals(sentMessages.size(), 2);
        double retryAt = replica.nextTick();
        assertTrue(retryAt < firstTick + LEASE_MS / 4, "requests are repeated at " + retryAt);
        replica.tick(retryAt);
        assertEquals(sentMessages.size(), 4);
        assertTrue(
                restartedWithVoteFor(NEW_LEADER).nextTick() >= LEASE_MS,
                "other members wait until the lease has ended");
    }

    /**
     * A member that is isolated for long does not raise its term; once it learns of a higher term,
     * its pre-votes are for a term beyond that one.
     */
    @Test
    public void isolatedMemberSendsPreVotesAndKeepsItsTerm() {
        Replica replica = restartedWithVoteFor(NEW_LEADER);
        for (double now = LEASE_MS; now < 20 * LEASE_MS; now += 50) {
            replica.tick(now);
        }
        assertEquals(replica.term(), 3);
        // It also sends join requests to members that may know the leader; they are not binding.
        sentMessages.removeIf(message -> message.equals(new ConsensusMessage.JoinRequest(3)));
        assertTrue(
                sentMessages.stream()
                        .allMatch(
                                message -> message.equals(new ConsensusMessage.PreVote(4, 0, 0))));
        replica.receive(20 * LEASE_MS, OLD_LEADER, new ConsensusMessage.PreVoteReply(4, false, 9));
        sentMessages.clear();
        replica.tick(25 * LEASE_MS);
        assertEquals(sentMessages.get(0), new ConsensusMessage.PreVote(10, 0, 0));
        replica.receive(
                25 * LEASE_MS,
                OLD_LEADER,
                new ConsensusMessage.AppendEntries(9, 0, 0, List.of(), 0, 1));
        replica.receive(25 * LEASE_MS + 1, NEW_LEADER, new ConsensusMessage.PreVote(10, 3, 5));
        assertEquals(
                sentMessages.get(sentMessages.size() - 1),
                new ConsensusMessage.PreVoteReply(10, false, 9),
                "the lease of the leader is valid");
    }
}
