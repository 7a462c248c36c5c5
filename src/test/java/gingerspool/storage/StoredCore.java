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
 * A core whose members keep real files, on one thread: every write is synced and every message
 * delivered before time goes on.
 */
final class StoredCore implements AutoCloseable {
    static final int SEEDS = 3;
    private static final double LEASE_MS = 300;
    private static final int SNAPSHOT_FLOOR_BYTES = 18 << 10;
    private static final int PIECE_BYTES = 4 << 10;
    private static final double DISK_MB = 128;

    private record Packet(Node to, ConsensusMessage.Envelope envelope) {}

    /** One member: its files, its replica and its copy of the configuration. */
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
            RecoveredLog found = log.open();
            List<String> seeds = List.of("10.0.0.0", "10.0.0.1", "10.0.0.2").subList(0, SEEDS);
            List<Member> founders =
                    firstStart
                            ? seeds.stream().map(s -> new Member(s, Member.FOUNDER)).toList()
                            : List.of();
            replica =
                    new Replica(
                            new Member(ip, firstStart ? Member.FOUNDER : "life-" + number),
                            found.state(),
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
            LogWrite whole = replica.fullState();
            log.rewrite(whole);
            replica.persisted(now, whole.ticket());
        }

        @Override
        public void send(Member to, ConsensusMessage message) {
            Node other = nodes.get(to.ip());
            if (other != null) {
                packets.add(
                        new Packet(
                                other, new ConsensusMessage.Envelope(replica.self(), to, message)));
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
            List<LogWrite> all = List.copyOf(writes);
            writes.clear();
            log.save(all);
            replica.persisted(now, all.get(all.size() - 1).ticket());
            return true;
        }

        @Override
        public void apply(long index, byte[] command) {
            try {
                Messages.ChangeCommand c = (Messages.ChangeCommand) codec.read(command);
                lastResult = state.apply(c.whole(), c.on(), c.body());
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

    /** Lets time go on by this span. */
    void advance(double span) throws StorageException {
        for (double until = now + span; now < until; now += 5) {
            for (Node node : nodes.values()) {
                node.replica.tick(now);
            }
            syncAndDeliverAll();
        }
    }

    private void syncAndDeliverAll() throws StorageException {
        boolean busy = true;
        while (busy) {
            busy = false;
            for (Node node : List.copyOf(nodes.values())) {
                busy |= node.syncWrites();
            }
            for (int i = packets.size(); i > 0; i--) {
                Packet p = packets.poll();
                if (nodes.containsValue(p.to) && p.envelope.isFor(p.to.replica.self())) {
                    p.to.replica.receive(now, p.envelope.from(), p.envelope.message());
                }
                busy = true;
            }
        }
    }

    /** The member that leads once one does. */
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

    /** Has a change agreed on, and tells what became of it. */
    ConfigurationState.ChangeResult change(boolean whole, long on, byte[] body)
            throws StorageException {
        Node leader = leader();
        leader.lastResult = null;
        leader.replica.propose(
                now, codec.write(new Messages.ChangeCommand(++commands, whole, on, body)));
        advance(100);
        return leader.lastResult;
    }

    /** A member asks to be replaced and stops once it may. */
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

    /** The body of the change to this version: the first is a whole configuration. */
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
