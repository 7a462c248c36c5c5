package gingerspool.codec;

import gingerspool.consensus.ConsensusMessage;
import gingerspool.consensus.LogEntry;
import gingerspool.consensus.Member;
import gingerspool.consensus.Snapshot;
import gingerspool.consensus.SnapshotPiece;
import gingerspool.consensus.VoterSet;
import java.util.List;

/** All that is said between processes, in a fixed order, which is part of the form. */
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
                    ConsensusMessage.LeaveReply.class);

    private MessageTypes() {}
}
