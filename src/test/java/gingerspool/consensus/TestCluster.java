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
 * Replicas with links of a millisecond and disks of two, in steps of a millisecond: for histories
 * told message by message. The state is the list of the commands' first numbers and the bytes of
 * the last command.
 */
final class TestCluster {
    static final double LEASE = 600;
    private static final double DISK_MS = 2;

    private record Event(double at, long serial, Runnable what) {}

    /** One machine with its disk. */
    final class Node implements ReplicaEnvironment {
        final Member member;
        Replica replica;
        PersistedState disk;
        final List<LogWrite> unsynced = new ArrayList<>();
        boolean diskFails;
        final List<Long> applied = new ArrayList<>();
        private byte[] last = {};
        private long life;

        Node(Member member) {
            this.member = member;
        }

        void start(List<Member> founders) {
            life++;
            applied.clear();
            last = new byte[0];
            unsynced.clear();
            ReplicaSettings settings =
                    new ReplicaSettings(
                            1,
                            LEASE,
                            List.of("n0", "n1", "n2"),
                            chance.nextLong(),
                            snapshotFloor,
                            pieceBytes,
                            out);
            replica = new Replica(member, disk, founders, settings, now, this);
        }

        /** The process ends; this many of the writes that were not synced are on disk. */
        void stop(int kept) {
            life++;
            replica = null;
            for (int i = 0; i < kept; i++) {
                disk = merged(disk, unsynced.get(i));
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
            long of = life;
            after(
                    DISK_MS,
                    () -> {
                        if (life == of && !diskFails) {
                            while (!unsynced.isEmpty() && unsynced.get(0).ticket() <= ticket) {
                                disk = merged(disk, unsynced.remove(0));
                            }
                            replica.persisted(now, ticket);
                        }
                    });
        }

        /** The disk takes bytes again, and everything is written anew. */
        void diskWorksAgain() {
            diskFails = false;
            unsynced.clear();
            LogWrite whole = replica.fullState();
            unsynced.add(whole);
            sync(whole.ticket());
        }

        @Override
        public void apply(long index, byte[] command) {
            applied.add(ByteBuffer.wrap(command).getLong());
            last = command;
        }

        @Override
        public void restore(long index, byte[] state) {
            ByteBuffer buffer = ByteBuffer.wrap(state);
            applied.clear();
            for (int count = buffer.getInt(); count > 0; count--) {
                applied.add(buffer.getLong());
            }
            last = new byte[buffer.remaining()];
            buffer.get(last);
        }

        @Override
        public byte[] snapshotState() {
            ByteBuffer buffer =
                    ByteBuffer.allocate(Integer.BYTES + Long.BYTES * applied.size() + last.length);
            buffer.putInt(applied.size());
            applied.forEach(buffer::putLong);
            return buffer.put(last).array();
        }

        boolean leads() {
            return replica != null && replica.isActiveLeader(now);
        }
    }

    private final int snapshotFloor;
    private final int pieceBytes;
    private final Set<ConsensusSafeguard> out;
    final Map<String, Node> nodes = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    java.util.Comparator.comparingDouble(Event::at)
                            .thenComparingLong(Event::serial));
    private long serial;
    double now;

    /** Which messages arrive. */
    Predicate<ConsensusMessage.Envelope> arrives = e -> true;

    /** What becomes of them on their way. */
    UnaryOperator<ConsensusMessage.Envelope> onItsWay = e -> e;

    /** How long one is on its way, in milliseconds. */
    double delay = 1;

    double delaySpread;
    private final SplittableRandom chance;

    TestCluster(
            int founders, int snapshotFloor, int pieceBytes, long seed, ConsensusSafeguard... out) {
        this.snapshotFloor = snapshotFloor;
        this.pieceBytes = pieceBytes;
        this.out = Set.of(out);
        chance = new SplittableRandom(seed);
        List<Member> all = new ArrayList<>();
        for (int i = 0; i < founders; i++) {
            all.add(new Member("n" + i, Member.FOUNDER));
        }
        all.forEach(m -> add(m).start(all));
    }

    Node add(Member member) {
        Node node = new Node(member);
        nodes.put(member.ip(), node);
        return node;
    }

    Node node(int i) {
        return nodes.get("n" + i);
    }

    static PersistedState merged(PersistedState disk, LogWrite write) {
        Snapshot base = write.snapshot() != null ? write.snapshot() : disk.snapshot();
        List<LogEntry> entries = new ArrayList<>();
        if (write.snapshot() == null) {
            int kept = (int) Math.min(disk.entries().size(), write.from() - base.index() - 1);
            entries.addAll(disk.entries().subList(0, kept));
        }
        entries.addAll(write.entries());
        return new PersistedState(write.self(), write.term(), write.votedFor(), base, entries);
    }

    void after(double span, Runnable what) {
        events.add(new Event(now + span, serial++, what));
    }

    private void post(ConsensusMessage.Envelope sent) {
        if (!arrives.test(sent)) {
            return;
        }
        ConsensusMessage.Envelope envelope = onItsWay.apply(sent);
        after(
                delay + delaySpread * chance.nextDouble(),
                () -> {
                    Node to = nodes.get(envelope.to().ip());
                    if (to != null && to.replica != null && envelope.isFor(to.replica.self())) {
                        to.replica.receive(now, envelope.from(), envelope.message());
                    }
                });
    }

    /** Plays so many milliseconds. */
    void run(double span) {
        for (double end = now + span; now < end; now++) {
            while (!events.isEmpty() && events.peek().at() <= now) {
                events.poll().what().run();
            }
            for (Node node : List.copyOf(nodes.values())) {
                if (node.replica != null && node.replica.nextTick() <= now) {
                    node.replica.tick(now);
                }
            }
        }
    }

    /** Plays until it is so, for so long at most; how long it took. */
    double runUntil(double most, Predicate<TestCluster> is) {
        double begin = now;
        while (!is.test(this)) {
            if (now > begin + most) {
                throw new AssertionError("not within " + most + " ms");
            }
            run(1);
        }
        return now - begin;
    }

    Node leader() {
        return nodes.values().stream().filter(Node::leads).findFirst().orElse(null);
    }

    Node awaitLeader() {
        runUntil(10 * LEASE, c -> c.leader() != null);
        return leader();
    }

    /** The leader takes this many commands of so many bytes, and all that are up apply them. */
    void change(int count, int bytes) {
        for (int i = 0; i < count; i++) {
            propose(bytes);
            run(2);
        }
        run(20);
    }

    private long proposed;

    boolean propose(int bytes) {
        Node leader = leader();
        return leader != null
                && leader.replica.propose(
                        now,
                        ByteBuffer.allocate(Math.max(bytes, Long.BYTES))
                                .putLong(++proposed)
                                .array());
    }

    /** Whether all replicas that are up have applied as much, and come to the same state. */
    boolean agrees() {
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
