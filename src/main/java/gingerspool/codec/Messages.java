package gingerspool.codec;

import java.util.List;
import java.util.Map;

/**
 * The messages between schedulers and control nodes. A scheduler's messages are one link's only: on
 * a new link it reports anew what it holds.
 */
public final class Messages {
    private Messages() {}

    /** A process's first message on a link, and its heartbeat: the address of its machine. */
    public record Heartbeat(String ip) {}

    /**
     * A member of the core on its term: its number, and the address of who leads it ("" if
     * unknown).
     */
    public record LeaderAnnouncement(long term, String leader, List<String> members) {}

    /**
     * A scheduler registers with the leader: the newest version it has, and the slots that it
     * holds, by instance.
     */
    public record Register(String name, String zone, long version, Map<String, Integer> held) {}

    /** The leader registered the scheduler: both begin to count anew. */
    public record Registered(long term) {}

    /** So many schedulers share the retry budget. */
    public record SchedulerCount(int count) {}

    /**
     * The configuration of this version, in protobuf's form; a scheduler only goes up in versions,
     * and takes one again where its copy was found to differ.
     */
    public record ConfigurationPush(long number, byte[] configuration, boolean again) {}

    /**
     * What turns the base version into another, in protobuf's form; a scheduler applies it to just
     * that version, or asks for a complete copy.
     */
    public record ConfigurationDeltaPush(long base, long number, byte[] changes) {}

    /** A delta could not be applied to this version: a complete copy is needed. */
    public record ConfigurationRequest(long version) {}

    /**
     * The scheduler has put the configuration of this number in force; the digest is the checksum
     * of the copy that it holds.
     */
    public record ConfigurationAck(long number, long digest) {}

    /** The leader asks a member for the digests of its copy of the state, for one comparison. */
    public record DigestRequest(String ip, long comparison) {}

    /**
     * The digests, by range, of a member's copy of the state at this index of the log; the answer
     * to the request of this comparison.
     */
    public record ReplicaDigest(String ip, long comparison, long index, List<Long> ranges) {}

    /** A member is asked for its items of these ranges at this index; range r is bit r. */
    public record RangeRequest(String ip, long index, int ranges) {}

    /** Items that take the place of all in these ranges, where the state stands at this index. */
    public record RangeRepair(String ip, long index, int ranges, Map<String, String> items) {}

    /**
     * What a scheduler needs of a function.
     *
     * @param missing slots at started instances that it still lacks after the grants counted in
     *     {@code granted}
     * @param granted slots of started instances granted to it on this link
     * @param inFlight requests that it holds, waiting or running
     * @param arrivals requests that have arrived on this link
     * @param serviceTime the mean running time that it has seen, in milliseconds; 0: none
     */
    public record SlotDemand(
            String function,
            int missing,
            long granted,
            int inFlight,
            long arrivals,
            double serviceTime) {}

    /**
     * Slots granted to a scheduler.
     *
     * @param capacity the slots that the instance has
     * @param slots how many of them are granted now
     * @param startsIn milliseconds until the instance has started; 0: it has
     * @param grantedSlots how many of its slots schedulers hold, these included
     */
    public record SlotGrant(
            String function,
            String instance,
            String address,
            String zone,
            int capacity,
            int slots,
            double startsIn,
            int grantedSlots) {}

    /** All slots that a scheduler holds after so many grants on this link, by instance. */
    public record SlotHoldings(long grants, Map<String, Integer> held) {}

    /** Others lack slots: so many of this function's are to be returned as they fall free. */
    public record SlotRecall(String function, int slots) {}

    /**
     * A command of the log: an operator's configuration, complete or as changes to a version. Kept
     * on disk: the sorted order of the component names is part of its form.
     */
    public record ChangeCommand(long id, boolean whole, long on, byte[] body) {}

    /** How a scheduler found an instance of which it returns slots. */
    public enum InstanceCondition {
        HEALTHY,

        /** It accepted a first connection: it has started. */
        STARTED,

        /** It can't be reached. */
        UNREACHABLE,

        /** It rejected a request although a slot was granted. */
        OVERLOADED
    }

    /** Slots returned, perhaps none, and how the instance was found. */
    public record SlotReturn(String instance, int slots, InstanceCondition condition) {}

    /** Nothing new may go to these instances; they are draining or gone. */
    public record InstanceWithdrawal(List<String> instances) {}
}
