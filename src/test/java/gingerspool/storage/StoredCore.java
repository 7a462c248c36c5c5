package gingerspool.storage;

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
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * A core whose members store their logs in real files, simulated on one thread: every write is
 * synced and every message delivered before the simulated time advances.
 */
final class StoredCore implements AutoCloseable {
    static final int SEEDS = 3;
    private static final double LEASE_MS = 300;
    private static final int SNAPSHOT_FLOOR_BYTES = 18 << 10;
    private static final int PIECE_BYTES = 4 << 10;
    private static final double DISK_MB = 128;

    private record Packet(Node to, ConsensusMessage.Envelope envelope) {}

    /** A member with its log, its replica and its copy of the configuration. */
    final class Node implements ReplicaEnvironment {
        final String ip;
        final ConfigurationState state = new ConfigurationState();
        private final DurableLog log;
        private final List<LogWrite> writes = new ArrayList<>();
        Replica replica;
        ConfigurationState.ChangeResult lastResult;

        Node(int number, Path folder, boolean firstStart) throws StorageException {
            ip = "10.0.0." + number;
            log = new DurableLog(folder, DISK_MB);
            RecoveredLog recovered = log.open();
            List<String> seeds = List.of("10.0.0.0", "10.0.0.1", "10.0.0.2").subList(0, SEEDS);
            List<Member> founders =
                    firstStart
                            ? seeds.stream()
                                    .map(seed -> new Member(seed, Member.FOUNDER_ID))
                                    .toList()
                            : List.of();
            replica =
                    new Replica(
                            new Member(ip, firstStart ? Member.FOUNDER_ID : "life-" + number),
                            recovered.state(),
                            founders,
                            new ReplicaSettings(
                                    1,
                                    LEASE_MS,
                                    seeds,
                                    number,
                                    SNAPSHOT_FLOOR_BYTES,
                                    PIECE_BYTES,
                                    Set.of()),
                            now,
                            this);
            writes.clear();
            LogWrite fullState = replica.fullState();
            log.rewrite(fullState);
            replica.persisted(now, fullState.ticket());
        }

        @Override
        public void send(Member to, ConsensusMessage message) {
            Node receiver = nodes.get(to.ip());
            if (receiver != null) {
                packets.add(
                        new Packet(
                                receiver,
                                new ConsensusMessage.Envelope(replica.self(), to, message)));
            }
        }

        @Override
        public void persist(LogWrite write) {
            writes.add(write);
        }

        private boolean syncWrites() throws StorageException {
            if (writes.isEmpty()) {
                return false;
            }
            List<LogWrite> pending = List.copyOf(writes);
            writes.clear();
            log.save(pending);
            replica.persisted(now, pending.get(pending.size() - 1).ticket());
            return true;
        }

        @Override
        public void apply(long index, byte[] command) {
            try {
                Messages.ChangeCommand change = (Messages.ChangeCommand) codec.read(command);
                lastResult = state.apply(change.whole(), change.on(), change.body());
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        }

        @Override
        public void restore(long index, byte[] snapshot) {
            state.restore(snapshot);
        }

        @Override
        public byte[] snapshotState() {
            return state.snapshot();
        }
    }

    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);
    final TreeMap<String, Node> nodes = new TreeMap<>();
    private final ArrayDeque<Packet> packets = new ArrayDeque<>();
    private double now = 1000;
    private long commands;

    Node start(int number, Path folder, boolean firstStart) throws StorageException {
        Node node = new Node(number, folder, firstStart);
        nodes.put(node.ip, node);
        return node;
    }

    /** Advances the simulated time by this many milliseconds. */
    void advance(double spanMs) throws StorageException {
        for (double until = now + spanMs; now < until; now += 5) {
            for (Node node : nodes.values()) {
                node.replica.tick(now);
            }
            syncAndDeliverAll();
        }
    }

    private void syncAndDeliverAll() throws StorageException {
        boolean hasProgress = true;
        while (hasProgress) {
            hasProgress = false;
            for (Node node : List.copyOf(nodes.values())) {
                hasProgress |= node.syncWrites();
            }
            for (int i = packets.size(); i > 0; i--) {
                Packet packet = packets.poll();
                if (nodes.containsValue(packet.to)
                        && packet.envelope.isFor(packet.to.replica.self())) {
                    packet.to.replica.receive(
                            now, packet.envelope.from(), packet.envelope.message());
                }
                hasProgress = true;
            }
        }
    }

    /** Waits until a member is leader and returns it. */
    Node leader() throws StorageException {
        for (int i = 0; i < 100; i++) {
            for (Node node : nodes.values()) {
                if (node.replica.isActiveLeader(now)) {
                    return node;
                }
            }
            advance(100);
        }
        throw new AssertionError("no leader");
    }

    /** Proposes a change and returns its result once it was applied. */
    ConfigurationState.ChangeResult change(boolean whole, long on, byte[] body)
            throws StorageException {
        Node leader = leader();
        leader.lastResult = null;
        leader.replica.propose(
                now, codec.write(new Messages.ChangeCommand(++commands, whole, on, body)));
        advance(100);
        return leader.lastResult;
    }

    /** Requests the replacement of a member and stops it once that is allowed. */
    void leave(Node node) throws StorageException {
        node.replica.leave(now);
        for (int i = 0; i < 100 && !node.replica.mayStop(now); i++) {
            advance(50);
        }
        if (!node.replica.mayStop(now)) {
            throw new AssertionError("not replaced: " + node.replica.members());
        }
        nodes.remove(node.ip);
        node.log.close();
    }

    /** The body of the change to this version; the first is a complete configuration. */
    static byte[] body(long version) {
        String service =
                "{\"Name\":\"f%d\",\"BootMs\":500,\"MaxConcurrency\":2,\"MemoryMb\":%d}"
                        .formatted(version % 40, 100 + version);
        String route =
                "{\"Name\":\"r%d\",\"HostName\":\"h.example\",\"PathPrefix\":\"/%d\",\"Service\":\"f%d\",\"Kept\":[1,\"x\"]}"
                        .formatted(version % 40, version % 40, version % 40);
        String text =
                version == 1
                        ? "{\"Version\":1,\"Unknown\":{\"a\":1.5},\"Services\":[%s],\"Routes\":[%s]}"
                                .formatted(service, route)
                        : "{\"Version\":%d,\"Upserts\":{\"Services\":[%s],\"Routes\":[%s]}}"
                                .formatted(version, service, route);
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        nodes.values().forEach(node -> node.log.close());
    }
}
