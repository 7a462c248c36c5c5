package gingerspool.codec;

import java.util.List;
import java.util.Map;

/**
 * What schedulers and the core say to each other. Spans are milliseconds. A scheduler's messages
 * are one link's only: on a new link it tells anew what it holds.
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
     * A scheduler asks the leader to take it on: the newest version it has, and each slot that it
     * holds.
     */
    public record Register(String name, String zone, long version, Map<String, Integer> held) {}

    /** The leader took it on: both begin to count anew. */
    public record Registered(long term) {}

    /** So many schedulers share the budget of repeats. */
    public record SchedulerCount(int count) {}

    /**
     * The configuration of this number, in protobuf's form; a scheduler only goes up in numbers,
     * and takes one again where its copy was found to differ.
     */
    public record ConfigurationPush(long number, byte[] configuration, boolean again) {}

    /**
     * The scheduler has put the configuration of this number in force; the digest is of the copy
     * that it holds.
     */
    public record ConfigurationAck(long number, long digest) {}

    /** The digests, by range, of a member's copy of the state at this index of the log. */
    public record ReplicaDigest(String ip, long index, List<Long> ranges) {}

    /** A member is asked for its items of these ranges at this index; range r is bit r. */
    public record RangeRequest(String ip, long index, int ranges) {}

    /** Items that take the place of all in these ranges, where the state stands at this index. */
    public record RangeRepair(String ip, long index, int ranges, Map<String, String> items) {}

    /**
     * What a scheduler wants of a function: slots at started instances that it still lacks after
     * all grants up to this count, the tasks that it has in hand and that have come in all, on this
     * link, and the mean running time that it has seen (0: none).
     */
    public record SlotDemand(
            String function, int lacks, long granted, int inHand, long came, double run) {}

    /** Slots given: an instance, how many, and how long until it has started (0: it has). */
    public record SlotGrant(
            String function,
            String instance,
            String address,
            String zone,
            int capacity,
            int slots,
            double startsIn,
            int inFlight) {}

    /** All slots that a scheduler holds after so many grants on this link, by instance. */
    public record SlotHoldings(long grants, Map<String, Integer> held) {}

    /** Others lack slots: so many of this function's are to be given back as they fall free. */
    public record SlotRecall(String function, int slots) {}

    /**
     * A command of the log: an operator's configuration, whole or as changes, made on a version.
     */
    public record ChangeCommand(long id, boolean whole, long on, byte[] body) {}

    /** Slots given back; how the instance was: see the constants. */
    public record SlotReturn(String instance, int slots, int seen) {}

    /** Nothing new may go to these instances; they are draining or gone. */
    public record InstanceWithdrawal(List<String> instances) {}

    public static final int SEEN_WELL = 0;

    /** It took a first connection: it has started. */
    public static final int SEEN_UP = 1;

    /** It can't be reached. */
    public static final int SEEN_LOST = 2;

    /** It turned a task away as too much. */
    public static final int SEEN_FULL = 3;
}
