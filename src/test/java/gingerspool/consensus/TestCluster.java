package gingerspool.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/**
 * A simulated cluster of replicas for deterministic tests at the level of single messages. Time
 * advances in steps of 1 ms, messages take 1 ms by default and disk syncs 2 ms. The replicated
 * state is the list of the first number in each command, and the bytes of the last command.
 */
final class TestCluster {
    static final double LEASE_MS = 600;

    /** How long a disk sync takes. */
    private static final double DISK_MS = 2;

    private record Event(double at, long serial, Runnable action) {}

    /** One machine with its disk, and its replica while it runs. */
    final class Node implements ReplicaEnvironment {
        final Member member;
        Replica replica;
        PersistedState disk;

        /** The writes that are not durable yet, the oldest first. */
        final List<LogWrite> unsynced = new ArrayList<>();

        /** While set, no write becomes durable. */
        boolean diskFails;

        final List<Long> applied = new ArrayList<>();
        private byte[] lastCommand = {};

        /** Increases with each start and stop; syncs of earlier incarnations are ignored. */
        private long incarnation;

        Node(Member member) {
            this.member = member;
        }

        void start(List<Member> founders) {
            incarnation++;
            applied.clear();
            lastCommand = new byte[0];
            unsynced.clear();
            ReplicaSettings settings =
                    new ReplicaSettings(
                            1,
                            LEASE_MS,
                            List.of("n0", "n1", "n2"),
                            random.nextLong(),
                            snapshotThresholdBytes,
                            pieceBytes,
                            disabled);
            replica = new Replica(member, disk, founders, settings, now, this);
        }

        /** Ends the process; this many of the unsynced writes are on disk afterwards. */
        void stop(int writesKept) {
            incarnation++;
            replica = null;
            for (int i = 0; i < writesKept; i++) {
                disk = withWrite(disk, unsynced.get(i));
            }
            unsynced.clear();
        }

        @Override
        public void send(Member to, ConsensusMessage message) {
            post(new ConsensusMessage.Envelope(replica.self(), to, message));
        }

        @Override
        public void persist(LogWrite write) {
            unsynced.add(write);
            sync(write.ticket());
        }

        private void sync(long ticket) {
            long startedIn = incarnation;
            schedule(
                    DISK_MS,
                    () -> {
                        if (incarnation == startedIn && !diskFails) {
                            while (!unsynced.isEmpty() && unsynced.get(0).ticket() <= ticket) {
                                disk = withWrite(disk, unsynced.remove(0));
                            }
                            replica.persisted(now, ticket);
                        }
                    });
        }

        /** Ends the disk failure and writes the complete durable state again. */
        void repairDisk() {
            diskFails = false;
            unsynced.clear();
            LogWrite fullWrite = replica.fullState();
            unsynced.add(fullWrite);
            sync(fullWrite.ticket());
        }

        @Override
        public void apply(long index, byte[] command) {
            applied.add(ByteBuffer.wrap(command).getLong());
            lastCommand = command;
        }

        @Override
        public void restore(long index, byte[] state) {
            ByteBuffer buffer = ByteBuffer.wrap(state);
            applied.clear();
            for (int count = buffer.getInt(); count > 0; count--) {
                applied.add(buffer.getLong());
            }
            lastCommand = new byte[buffer.remaining()];
            buffer.get(lastCommand);
        }

        @Override
        public byte[] snapshotState() {
            ByteBuffer buffer =
                    ByteBuffer.allocate(
                            Integer.BYTES + Long.BYTES * applied.size() + lastCommand.length);
            buffer.putInt(applied.size());
            applied.forEach(buffer::putLong);
            return buffer.put(lastCommand).array();
        }

        boolean isActiveLeader() {
            return replica != null && replica.isActiveLeader(now);
        }
    }

    private final int snapshotThresholdBytes;
    private final int pieceBytes;
    private final Set<ConsensusSafeguard> disabled;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    java.util.Comparator.comparingDouble(Event::at)
                            .thenComparingLong(Event::serial));
    private long serial;
    double now;

    /** Which messages are delivered; the others are lost. */
    Predicate<ConsensusMessage.Envelope> isDelivered = e -> true;

    /** Maps each message in transit to the one that is delivered. */
    UnaryOperator<ConsensusMessage.Envelope> inTransit = e -> e;

    /** The minimum delay of a message. */
    double delayMs = 1;

    /** The most random delay of a message in addition to the minimum. */
    double delaySpreadMs;

    private final SplittableRandom random;

    TestCluster(
            int founders,
            int snapshotThresholdBytes,
            int pieceBytes,
            long seed,
            ConsensusSafeguard... disabled) {
        this.snapshotThresholdBytes = snapshotThresholdBytes;
        this.pieceBytes = pieceBytes;
        this.disabled = Set.of(disabled);
        random = new SplittableRandom(seed);
        List<Member> founderMembers = new ArrayList<>();
        for (int i = 0; i < founders; i++) {
            founderMembers.add(new Member("n" + i, Member.FOUNDER_ID));
        }
        founderMembers.forEach(m -> add(m).start(founderMembers));
    }

    Node add(Member member) {
        Node node = new Node(member);
        nodes.put(member.ip(), node);
        return node;
    }

    Node node(int index) {
        return nodes.get("n" + index);
    }

    /** The contents of a disk after a write. */
    static PersistedState withWrite(PersistedState disk, LogWrite write) {
        Snapshot base = write.snapshot() != null ? write.snapshot() : disk.snapshot();
        List<LogEntry> entries = new ArrayList<>();
        if (write.snapshot() == null) {
            int kept = (int) Math.min(disk.entries().size(), write.fromIndex() - base.index() - 1);
            entries.addAll(disk.entries().subList(0, kept));
        }
        entries.addAll(write.entries());
        return new PersistedState(write.self(), write.term(), write.votedFor(), base, entries);
    }

    void schedule(double afterMs, Runnable action) {
        events.add(new Event(now + afterMs, serial++, action));
    }

    private void post(ConsensusMessage.Envelope sent) {
        if (!isDelivered.test(sent)) {
            return;
        }
        ConsensusMessage.Envelope envelope = inTransit.apply(sent);
        schedule(
                delayMs + delaySpreadMs * random.nextDouble(),
                () -> {
                    Node receiver = nodes.get(envelope.to().ip());
                    if (receiver != null
                            && receiver.replica != null
                            && envelope.isFor(receiver.replica.self())) {
                        receiver.replica.receive(now, envelope.from(), envelope.message());
                    }
                });
    }

    /** Runs the cluster for a duration. */
    void run(double durationMs) {
        for (double endsAt = now + durationMs; now < endsAt; now++) {
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().action().run();
            }
            for (Node node : List.copyOf(nodes.values())) {
                if (node.replica != null && node.replica.nextTick() <= now) {
                    node.replica.tick(now);
                }
            }
        }
    }

    /**
     * Runs the cluster until a condition holds and returns the elapsed milliseconds; fails if it
     * does not hold in time.
     */
    double runUntil(double maxMs, Predicate<TestCluster> condition) {
        double startedAt = now;
        while (!condition.test(this)) {
            if (now > startedAt + maxMs) {
                throw new AssertionError("not within " + maxMs + " ms");
            }
            run(1);
        }
        return now - startedAt;
    }

    Node leader() {
        return nodes.values().stream().filter(Node::isActiveLeader).findFirst().orElse(null);
    }

    Node awaitLeader() {
        runUntil(10 * LEASE_MS, c -> c.leader() != null);
        return leader();
    }

    /** Proposes commands of this size to the leader, and leaves time for applying them. */
    void proposeCommands(int count, int bytes) {
        for (int i = 0; i < count; i++) {
            propose(bytes);
            run(2);
        }
        run(20);
    }

    private long proposedCount;

    boolean propose(int bytes) {
        Node leader = leader();
        return leader != null
                && leader.replica.propose(
                        now,
                        ByteBuffer.allocate(Math.max(bytes, Long.BYTES))
                                .putLong(++proposedCount)
                                .array());
    }

    /** Whether all running replicas have applied the same entries and have the same state. */
    boolean hasConverged() {
        Node leader = leader();
        return leader != null
                && nodes.values().stream()
                        .filter(n -> n.replica != null)
                        .allMatch(
                                n ->
                                        n.replica.appliedIndex() == leader.replica.appliedIndex()
                                                && Arrays.equals(
                                                        n.snapshotState(), leader.snapshotState()));
    }
}
