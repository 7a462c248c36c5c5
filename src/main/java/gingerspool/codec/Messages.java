package gingerspool.codec;

import java.util.List;
import java.util.Map;

/**
 * The messages between schedulers and control nodes, and among control nodes. The state that a
 * scheduler reports is valid for one link only: on a new link it reports again which slots it
 * holds.
 */
public final class Messages {
    private Messages() {}

    /** The first message of a process on a link, and its heartbeat: its machine's address. */
    public record Heartbeat(String ip) {}

    /**
     * A member of the core announces its term, the address of the leader ("" if unknown) and the
     * members.
     */
    public record LeaderAnnouncement(long term, String leader, List<String> members) {}

    /**
     * A scheduler registers with the leader: the newest configuration version it has, and how many
     * slots it holds, by instance.
     */
    public record Register(String name, String zone, long version, Map<String, Integer> held) {}

    /** The leader registered the scheduler: both restart their counts for this link. */
    public record Registered(long term) {}

    /** The number of schedulers that share the retry budget. */
    public record SchedulerCount(int count) {}

    /**
     * The complete configuration, encoded with protobuf.
     *
     * @param number its version; a scheduler ignores versions that are not newer than its own
     * @param again whether it is to be applied to the same version too, since the scheduler's copy
     *     was found to differ
     */
    public record ConfigurationPush(long number, byte[] configuration, boolean again) {}

    /**
     * The changes from the base version to another, encoded with protobuf; a scheduler with any
     * other version requests a complete copy.
     */
    public record ConfigurationDeltaPush(long base, long number, byte[] changes) {}

    /** A scheduler could not apply a delta to its version and requests a complete copy. */
    public record ConfigurationRequest(long version) {}

    /** The scheduler has applied the configuration of this version; with its copy's checksum. */
    public record ConfigurationAck(long number, long digest) {}

    /** The leader requests the digests of a member's copy of the state, for one comparison. */
    public record DigestRequest(String ip, long comparison) {}

    /**
     * The digests of a member's copy of the state at this index of the log, one per range; replies
     * to the {@link DigestRequest} of this comparison.
     */
    public record ReplicaDigest(String ip, long comparison, long index, List<Long> ranges) {}

    /** Requests a member's items in these ranges at this index; range r is bit r. */
    public record RangeRequest(String ip, long index, int ranges) {}

    /** Items that replace all items in these ranges, for a receiver at this index only. */
    public record RangeRepair(String ip, long index, int ranges, Map<String, String> items) {}

    /**
     * A scheduler's demand for slots of a function.
     *
     * @param missing slots at started instances that it still needs beyond {@code granted}
     * @param granted slots of started instances granted to it on this link
     * @param inFlight its requests that are queued or running
     * @param arrivals requests that have arrived on this link
     * @param serviceTime the mean running time that it has measured, in milliseconds; 0 if none
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
     * @param capacity the number of slots of the instance
     * @param slots the number of slots granted by this message
     * @param startsIn milliseconds until the instance has started; 0 if it has
     * @param grantedSlots the number of its slots granted to all schedulers, including these
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

    /** The slots that a scheduler holds by instance, after this many grants on this link. */
    public record SlotHoldings(long grants, Map<String, Integer> held) {}

    /** Asks a scheduler to return this many slots of a function as they become free. */
    public record SlotRecall(String function, int slots) {}

    /**
     * A command in the log: a configuration change by an operator. Stored on disk: the component
     * names determine the order of the components.
     *
     * @param whole whether the body is a complete configuration instead of changes
     * @param on the version that the change is based on
     */
    public record ChangeCommand(long id, boolean whole, long on, byte[] body) {}

    /** The condition of an instance as seen by a scheduler that returns slots of it. */
    public enum InstanceCondition {
        HEALTHY,

        /** It accepted its first connection. */
        STARTED,

        /** Connections to it fail. */
        UNREACHABLE,

        /** It rejected a request although the scheduler held a slot. */
        OVERLOADED
    }

    /** Returns slots of an instance, possibly none, with the condition of the instance. */
    public record SlotReturn(String instance, int slots, InstanceCondition condition) {}

    /** No new requests may be sent to these instances: they are draining or gone. */
    public record InstanceWithdrawal(List<String> instances) {}
}
