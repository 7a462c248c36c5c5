package gingerspool.codec;

import gingerspool.consensus.ConsensusMessage;
import gingerspool.consensus.LogEntry;
import gingerspool.consensus.Member;
import gingerspool.consensus.Snapshot;
import gingerspool.consensus.SnapshotPiece;
import gingerspool.consensus.VoterSet;
import java.util.List;

/**
 * The types of all messages between processes and of the commands in the log. A type is encoded as
 * its position in this list, so the order is part of the format on disk: add new types at the end.
 */
public final class MessageTypes {
    public static final List<Class<?>> ALL =
            List.of(
                    Member.class,
                    LogEntry.class,
                    Snapshot.class,
                    ConsensusMessage.class,
                    ConsensusMessage.Envelope.class,
                    ConsensusMessage.RequestVote.class,
                    ConsensusMessage.VoteReply.class,
                    ConsensusMessage.AppendEntries.class,
                    ConsensusMessage.InstallSnapshot.class,
                    ConsensusMessage.AppendReply.class,
                    ConsensusMessage.JoinRequest.class,
                    ConsensusMessage.TimeoutNow.class,
                    Messages.Heartbeat.class,
                    Messages.LeaderAnnouncement.class,
                    Messages.Register.class,
                    Messages.Registered.class,
                    Messages.ConfigurationPush.class,
                    Messages.ConfigurationAck.class,
                    Messages.SlotDemand.class,
                    Messages.SlotGrant.class,
                    Messages.SlotRecall.class,
                    Messages.SlotReturn.class,
                    Messages.InstanceWithdrawal.class,
                    Messages.ChangeCommand.class,
                    Messages.SchedulerCount.class,
                    Messages.ReplicaDigest.class,
                    Messages.RangeRequest.class,
                    Messages.RangeRepair.class,
                    Messages.SlotHoldings.class,
                    ConsensusMessage.PreVote.class,
                    ConsensusMessage.PreVoteReply.class,
                    VoterSet.class,
                    SnapshotPiece.class,
                    ConsensusMessage.SnapshotReply.class,
                    ConsensusMessage.Referral.class,
                    ConsensusMessage.LeaveRequest.class,
                    ConsensusMessage.LeaveReply.class,
                    Messages.InstanceCondition.class,
                    Messages.ConfigurationDeltaPush.class,
                    Messages.ConfigurationRequest.class,
                    Messages.DigestRequest.class);

    private MessageTypes() {}
}
