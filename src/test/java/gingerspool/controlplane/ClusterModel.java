package gingerspool.controlplane;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.consensus.ConsensusMessage;
import gingerspool.consensus.LogEntry;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.PersistedState;
import gingerspool.consensus.Replica;
import gingerspool.consensus.ReplicaEnvironment;
import gingerspool.consensus.ReplicaSettings;
import gingerspool.peers.ModelEventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Three control nodes in memory, with the real replica, configuration state and operator calls.
 * Links can be cut, processes killed and restarted; disks keep what was persisted.
 */
final class ClusterModel {
    static final double LEASE_MS = 500;
    private static final double LINK_DELAY_MS = 2;
    private static final double PERSIST_DELAY_MS = 3;
    private static final int CONTROL_PORT = 8248;
    private static final int MIN_SNAPSHOT_BYTES = 2_000;

    /** The answer to an operator's call; the status is 0 until it arrives. */
    static final class Answer {
        int status;
        String body = "";
        double answeredAt;
    }

    final ModelEventLoop loop = new ModelEventLoop();
    final List<Node> nodes = new ArrayList<>();

    /** Links that drop all messages, as "from>to". */
    final Set<String> cutLinks = new HashSet<>();

    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);
    private final List<String> seeds = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");

    ClusterModel(long seed) {
        for (String ip : seeds) {
            nodes.add(new Node(ip, seed));
        }
        nodes.forEach(Node::start);
    }

    /** A control node; a killed one loses everything but its disk. */
    final class Node implements ReplicaEnvironment {
        final String ip;
        ConfigurationState state;
        Replica replica;
        OperatorCalls calls;
        int restoredSnapshots;
        private final long seed;
        private PersistedState disk;
        private int incarnation;

        Node(String ip, long seed) {
            this.ip = ip;
            this.seed = seed;
        }

        void start() {
            incarnation++;
            state = new ConfigurationState();
            List<Member> founders =
                    disk == null
                            ? seeds.stream().map(s -> new Member(s, Member.FOUNDER_ID)).toList()
                            : List.of();
            replica =
                    new Replica(
                            new Member(ip, Member.FOUNDER_ID),
                            disk,
                            founders,
                            new ReplicaSettings(
                                    1,
                                    LEASE_MS,
                                    seeds,
                                    seed + ip.hashCode(),
                                    MIN_SNAPSHOT_BYTES,
                                    1 << 16,
                                    Set.of()),
                            loop.now(),
                            this);
            calls =
                    new OperatorCalls(
                            loop, CONTROL_PORT, codec, state, () -> replica, () -> "status");
            tick(incarnation);
        }

        void kill() {
            incarnation++;
            replica = null;
        }

        boolean isUp() {
            return replica != null;
        }

        boolean isLeading() {
            return isUp() && replica.isActiveLeader(loop.now());
        }

        private void tick(int startedIn) {
            if (startedIn == incarnation) {
                replica.tick(loop.now());
                loop.schedule(5, () -> tick(startedIn));
            }
        }

        Answer change(boolean isComplete, long baseVersion, String body) {
            Answer answer = new Answer();
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            calls.run(
                    new OperatorCall.Change(
                            replyTo(answer), "/v1/x", isComplete, baseVersion, bytes));
            return answer;
        }

        Answer read() {
            Answer answer = new Answer();
            calls.run(new OperatorCall.Read(replyTo(answer), "/v1/configuration/read"));
            return answer;
        }

        private OperatorCall.Reply replyTo(Answer answer) {
            int startedIn = incarnation;
            return (status, fields, body) -> {
                if (startedIn != incarnation) {
                    return;
                }
                if (answer.status != 0) {
                    throw new IllegalStateException("answered twice");
                }
                answer.status = status;
                answer.body = new String(body, StandardCharsets.UTF_8);
                answer.answeredAt = loop.now();
            };
        }

        @Override
        public void send(Member to, ConsensusMessage message) {
            Member from = replica.self();
            loop.schedule(
                    LINK_DELAY_MS,
                    () -> {
                        for (Node node : nodes) {
                            if (node.ip.equals(to.ip())) {
                                node.receive(ip, from, to, message);
                            }
                        }
                    });
        }

        private void receive(String senderIp, Member from, Member to, ConsensusMessage message) {
            boolean isAddressee = to.id().isEmpty() || isUp() && to.equals(replica.self());
            if (isUp() && isAddressee && !cutLinks.contains(senderIp + ">" + ip)) {
                replica.receive(loop.now(), from, message);
            }
        }

        @Override
        public void persist(LogWrite write) {
            int startedIn = incarnation;
            loop.schedule(
                    PERSIST_DELAY_MS,
                    () -> {
                        if (startedIn == incarnation) {
                            disk = applyWrite(disk, write);
                            replica.persisted(loop.now(), write.ticket());
                        }
                    });
        }

        @Override
        public void apply(long index, byte[] command) {
            try {
                Messages.ChangeCommand change = (Messages.ChangeCommand) codec.read(command);
                calls.applied(change.id(), state.apply(change.whole(), change.on(), change.body()));
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void restore(long index, byte[] bytes) {
            restoredSnapshots++;
            state.restore(bytes);
        }

        @Override
        public byte[] snapshotState() {
            return state.snapshot();
        }
    }

    private static PersistedState applyWrite(PersistedState disk, LogWrite write) {
        List<LogEntry> entries = new ArrayList<>();
        if (write.snapshot() == null) {
            long keptEntries = write.fromIndex() - disk.snapshot().index() - 1;
            entries.addAll(
                    disk.entries().subList(0, (int) Math.min(keptEntries, disk.entries().size())));
        }
        entries.addAll(write.entries());
        return new PersistedState(
                write.self(),
                write.term(),
                write.votedFor(),
                write.snapshot() == null ? disk.snapshot() : write.snapshot(),
                entries);
    }

    /** Runs the model until one of these nodes leads. */
    Node awaitLeader(List<Node> candidates) {
        for (int i = 0; i < 2_000; i++) {
            for (Node node : candidates) {
                if (node.isLeading()) {
                    return node;
                }
            }
            loop.run(5);
        }
        throw new IllegalStateException("no leader within 10 s");
    }

    Node awaitLeader() {
        return awaitLeader(nodes);
    }

    List<Node> others(Node node) {
        return nodes.stream().filter(n -> n != node).toList();
    }

    void isolate(Node node) {
        for (Node other : others(node)) {
            cutLinks.add(node.ip + ">" + other.ip);
            cutLinks.add(other.ip + ">" + node.ip);
        }
    }

    /** Sends a change to the current leader until the answer says whether it was accepted. */
    Answer changeUntilDecided(boolean isComplete, long baseVersion, String body) {
        for (int i = 0; i < 20; i++) {
            Answer answer = awaitLeader().change(isComplete, baseVersion, body);
            loop.run(900);
            if (answer.status != 503 && answer.status != 307) {
                return answer;
            }
        }
        throw new IllegalStateException("the change was neither accepted nor rejected");
    }

    static String completeConfiguration(long version, String note) {
        return "{\"Version\":%d,\"Routes\":[],\"Note\":\"%s\"}".formatted(version, note);
    }
}
