package gingerspool.capacity;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.consensus.ConsensusMessage;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.Replica;
import gingerspool.consensus.ReplicaEnvironment;
import gingerspool.consensus.ReplicaSettings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Replicas of the core in one process: messages are encoded, counted, decoded and delivered at
 * once, writes are durable at once, time is counted by this class.
 */
final class HollowCore {
    private static final double LEASE = 600;
    private static final double STEP = 10;
    private static final int STEPS_MOST = 10_000;
    private static final int LEARNER_ROUNDS = 1000;

    private record Sent(Member from, Member to, byte[] bytes) {}

    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);
    private final Map<Member, Node> nodes = new LinkedHashMap<>();
    private final List<Member> founders = new ArrayList<>();
    private final ArrayDeque<Sent> wire = new ArrayDeque<>();
    private final SampleConfiguration sample;
    private double now;
    private long marks;

    /** Bytes and messages between members so far. */
    long bytes;

    long messages;

    /** One member: its replica and its state. */
    private final class Node implements ReplicaEnvironment {
        final Member self;
        final ConfigurationState state = new ConfigurationState();
        final ArrayDeque<Long> tickets = new ArrayDeque<>();
        Replica replica;

        Node(Member self) {
            this.self = self;
        }

        @Override
        public void send(Member to, ConsensusMessage message) {
            byte[] encoded = codec.write(new ConsensusMessage.Envelope(self, to, message));
            bytes += encoded.length + Integer.BYTES;
            messages++;
            wire.add(new Sent(self, to, encoded));
        }

        @Override
        public void persist(LogWrite write) {
            tickets.add(write.ticket());
        }

        @Override
        public void apply(long index, byte[] command) {
            try {
                Messages.ChangeCommand c = (Messages.ChangeCommand) codec.read(command);
                ConfigurationState.Verdict v = state.apply(c.whole(), c.on(), c.body());
                if (v.status() != ConfigurationState.ACCEPTED) {
                    throw new IllegalStateException(v.text());
                }
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void restore(long index, byte[] bytes) {
            state.restore(bytes);
        }

        @Override
        public byte[] snapshotState() {
            return state.state();
        }
    }

    /** Starts so many members and waits until one leads; then takes a configuration. */
    HollowCore(int members, int functions, long seed) {
        sample = new SampleConfiguration(seed);
        for (int i = 1; i <= members; i++) {
            founders.add(new Member("10.0.0." + i, Member.FOUNDER));
        }
        founders.forEach(m -> begin(m, true, seed));
        for (int i = 0; i < STEPS_MOST && leader() == null; i++) {
            step();
        }
        change(new Messages.ChangeCommand(++marks, true, 0, sample.whole(1, functions)));
    }

    private void begin(Member member, boolean founds, long seed) {
        Node node = new Node(member);
        nodes.put(member, node);
        node.replica =
                new Replica(
                        member,
                        null,
                        founds ? founders : List.of(),
                        new ReplicaSettings(
                                0,
                                LEASE,
                                founders.stream().map(Member::ip).toList(),
                                seed + nodes.size()),
                        now,
                        node);
        deliverAll();
    }

    private Node leader() {
        for (Node n : nodes.values()) {
            if (n.replica.isActiveLeader(now)) {
                return n;
            }
        }
        return null;
    }

    private void step() {
        now += STEP;
        for (Node n : nodes.values()) {
            if (now >= n.replica.nextTick()) {
                n.replica.tick(now);
            }
        }
        deliverAll();
    }

    private void deliverAll() {
        boolean moved = true;
        while (moved) {
            moved = false;
            for (Node n : nodes.values()) {
                while (n.replica != null && !n.tickets.isEmpty()) {
                    n.replica.persisted(now, n.tickets.poll());
                    moved = true;
                }
            }
            while (!wire.isEmpty()) {
                deliver(wire.poll());
                moved = true;
            }
        }
    }

    private void deliver(Sent sent) {
        Node to = nodes.get(sent.to);
        if (to == null || to.replica == null) {
            return;
        }
        try {
            ConsensusMessage.Envelope e = (ConsensusMessage.Envelope) codec.read(sent.bytes);
            to.replica.receive(now, e.from(), e.message());
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private void change(Messages.ChangeCommand command) {
        Node leader = leader();
        long before = leader.replica.appliedIndex();
        leader.replica.propose(now, codec.write(command));
        deliverAll();
        if (leader.replica.appliedIndex() == before) {
            throw new IllegalStateException("the change was not committed");
        }
    }

    /** One change of one function, committed and applied by the leader. */
    void change(int functions) {
        long version = leader().state.version();
        change(
                new Messages.ChangeCommand(
                        ++marks, false, version, sample.change(version + 1, functions)));
    }

    /** Lets time pass with no changes. */
    void pass(double millis) {
        for (double end = now + millis; now < end; ) {
            step();
        }
    }

    /** A member with an empty disk joins as a learner; returns the bytes until it has the state. */
    long learn(long seed) {
        long before = bytes;
        Member learner = new Member("10.0.1.1", "new");
        begin(learner, false, seed);
        Node node = nodes.get(learner);
        for (int i = 0; i < LEARNER_ROUNDS && node.state.version() == 0; i++) {
            node.send(leader().self, new ConsensusMessage.JoinRequest(node.replica.term()));
            deliverAll();
            step();
        }
        return bytes - before;
    }
}
