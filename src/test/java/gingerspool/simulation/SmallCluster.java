package gingerspool.simulation;

import gingerspool.consensus.ConsensusMessage;
import gingerspool.consensus.ConsensusSafeguard;
import gingerspool.consensus.LogWrite;
import gingerspool.consensus.Member;
import gingerspool.consensus.PersistedState;
import gingerspool.consensus.Replica;
import gingerspool.consensus.ReplicaEnvironment;
import gingerspool.consensus.ReplicaSettings;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A small core for exhaustive search. At each step one thing happens: by default, in this order, a
 * disk confirms, the oldest message arrives, the script goes on, the next timer fires. Instead of
 * the default a deviation may be chosen: a message is lost, held back or doubled, a machine is cut
 * off, crashes or is wiped, its disk lags, or its timer fires out of turn.
 */
final class SmallCluster {
    static final double LEASE = ConsensusSimulation.LEASE;

    /** After so many timers machines that were cut off are joined again. */
    private static final int PATIENCE = 60;

    private static final int PIECE_BYTES = 24;

    /** What the script asks for, one step after the other. */
    enum Scripted {
        CHANGE(false),
        REPLACE_FOLLOWER(true),
        REPLACE_LEADER(true),
        WIPE_FOLLOWER(true),
        PLANNED_FOLLOWER(true),

        /** Another voter is wiped as soon as the one that left has stopped. */
        WIPE_AFTER_LEAVER(false),
        PLANNED_LEADER(true),
        RESTART_ALL(false),
        CUT_LEADER(false);

        final boolean losesDisk;

        Scripted(boolean losesDisk) {
            this.losesDisk = losesDisk;
        }
    }

    /** What may happen at a step. All but the first and those that mend cost a deviation. */
    enum Kind {
        DEFAULT,
        LOSE,
        HOLD,
        DOUBLE,
        RELEASE,
        CUT,
        CUT_OUT,
        HEAL,
        CRASH,
        WIPE,
        LAG,
        SYNC,
        TIMER;

        boolean costs() {
            return this != DEFAULT && this != RELEASE && this != HEAL && this != SYNC;
        }
    }

    record Action(Kind kind, int machine) {
        static final Action DEFAULT = new Action(Kind.DEFAULT, 0);

        @Override
        public String toString() {
            return kind + "(" + machine + ")";
        }
    }

    private record Packet(
            int from, int to, Member recipient, Member sender, ConsensusMessage message) {}

    /** One machine with its disk. */
    final class Node implements ReplicaEnvironment {
        final int number;
        final String ip;
        Replica replica;
        PersistedState disk;
        final List<LogWrite> unsynced = new ArrayList<>();
        ConfigurationReplica state = new ConfigurationReplica.Model();
        final Map<Long, Order> waiting = new HashMap<>();
        boolean cutIn;
        boolean cutOut;
        boolean lagging;
        boolean leaving;
        boolean gone;
        int wipes;

        Node(int number) {
            this.number = number;
            this.ip = "10.0.0." + number;
        }

        void start(boolean first) {
            unsynced.clear();
            waiting.clear();
            state = new ConfigurationReplica.Model();
            lagging = false;
            boolean reused = !disabled.contains(ConsensusSafeguard.NEW_ID_AFTER_WIPE);
            boolean founds = first || disk == null && !reused && number < founders.size();
            String id = founds ? Member.FOUNDER_ID : ip + "-" + wipes;
            replica =
                    new Replica(
                            new Member(ip, id),
                            disk,
                            founds ? founders : List.of(),
                            new ReplicaSettings(
                                    tolerated,
                                    LEASE,
                                    founders.stream().map(Member::ip).toList(),
                                    seed + number,
                                    snapshotFloor,
                                    PIECE_BYTES,
                                    disabled),
                            now,
                            this);
            leaving = false;
        }

        @Override
        public void send(Member to, ConsensusMessage message) {
            for (Node other : nodes) {
                if (other.ip.equals(to.ip())) {
                    post(new Packet(number, other.number, to, replica.self(), message));
                }
            }
        }

        @Override
        public void persist(LogWrite write) {
            unsynced.add(write);
        }

        void sync() {
            long ticket = unsynced.get(unsynced.size() - 1).ticket();
            for (LogWrite write : unsynced) {
                disk = ConsensusSimulation.merged(disk, write);
            }
            unsynced.clear();
            replica.persisted(now, ticket);
        }

        @Override
        public void apply(long index, byte[] command) {
            int digest = Arrays.hashCode(command);
            Integer other = commands.putIfAbsent(index, digest);
            wrong(other != null && other != digest, "index " + index + " holds two commands");
            Order order = Order.of(command);
            int status = state.take(order);
            if (waiting.remove(Order.callOf(command)) != null) {
                if (status == ConfigurationReplica.TAKEN) {
                    acknowledged.add(order);
                }
            }
        }

        @Override
        public void restore(long index, byte[] snapshot) {
            state.restore(snapshot == null ? new byte[0] : snapshot);
        }

        @Override
        public byte[] snapshotState() {
            return state.state();
        }
    }

    private final Set<ConsensusSafeguard> disabled;
    private final int snapshotFloor;
    private final int tolerated;
    private final long seed;
    private final List<Scripted> script;
    final List<Node> nodes = new ArrayList<>();
    private final List<Member> founders = new ArrayList<>();
    private final List<Packet> wire = new ArrayList<>();
    private final List<Packet> held = new ArrayList<>();
    private final Map<Long, Integer> commands = new HashMap<>();
    private final List<Order> acknowledged = new ArrayList<>();
    private double now;
    private int scripted;
    private int wipesLeft;
    private int timers;
    private long calls;
    private long lastTerm;
    private int lastLeader = -1;
    String wrong;

    SmallCluster(SmallModelSearch.Bound bound) {
        disabled = bound.disabled();
        tolerated = bound.tolerated();
        seed = bound.seed();
        script = bound.script();
        snapshotFloor = bound.snapshotFloor();
        wipesLeft = tolerated;
        for (int i = 0; i < bound.machines(); i++) {
            nodes.add(new Node(i));
            founders.add(new Member(nodes.get(i).ip, Member.FOUNDER_ID));
        }
        nodes.forEach(n -> n.start(true));
    }

    private void wrong(boolean is, String what) {
        wrong = is && wrong == null ? what : wrong;
    }

    private void post(Packet packet) {
        if (!nodes.get(packet.from).cutOut && !nodes.get(packet.to).cutIn) {
            wire.add(packet);
        }
    }

    private Node leader() {
        return nodes.stream()
                .filter(n -> !n.gone && n.replica.isActiveLeader(now))
                .findFirst()
                .orElse(null);
    }

    private Node unsynced() {
        return nodes.stream()
                .filter(n -> !n.gone && !n.lagging && !n.unsynced.isEmpty())
                .findFirst()
                .orElse(null);
    }

    boolean isQuiet() {
        return unsynced() == null && wire.isEmpty();
    }

    /** Whether the script has been played and all has come to rest. */
    boolean isOver() {
        return scripted >= script.size() && isQuiet();
    }

    /** What may happen next; the first is the default. */
    List<Action> actions() {
        List<Action> actions = new ArrayList<>();
        actions.add(Action.DEFAULT);
        if (unsynced() == null && !wire.isEmpty()) {
            actions.add(new Action(Kind.LOSE, 0));
            actions.add(new Action(Kind.HOLD, 0));
            actions.add(new Action(Kind.DOUBLE, 0));
        }
        boolean quiet = isQuiet();
        for (int i = 0; quiet && i < held.size(); i++) {
            actions.add(new Action(Kind.RELEASE, i));
        }
        for (Node n : nodes) {
            if (!n.gone) {
                add(actions, n, quiet);
            }
        }
        return actions;
    }

    private void add(List<Action> actions, Node n, boolean quiet) {
        if (n.cutIn || n.cutOut) {
            if (quiet) {
                actions.add(new Action(Kind.HEAL, n.number));
            }
        } else {
            actions.add(new Action(Kind.CUT, n.number));
            actions.add(new Action(Kind.CUT_OUT, n.number));
        }
        if (n.lagging) {
            if (quiet) {
                actions.add(new Action(Kind.SYNC, n.number));
            }
        } else if (n.disk != null && !n.unsynced.isEmpty()) {
            actions.add(new Action(Kind.LAG, n.number));
        }
        if (n.disk != null) {
            actions.add(new Action(Kind.CRASH, n.number));
        }
        if (wipesLeft > 0 && !isAnyCut()) {
            actions.add(new Action(Kind.WIPE, n.number));
        }
        if (quiet) {
            actions.add(new Action(Kind.TIMER, n.number));
        }
    }

    void perform(Action action) {
        Node n = action.kind == Kind.RELEASE ? null : nodes.get(action.machine);
        switch (action.kind) {
            case DEFAULT -> byDefault();
            case LOSE -> wire.remove(0);
            case HOLD -> held.add(wire.remove(0));
            case DOUBLE -> held.add(wire.get(0));
            case RELEASE -> wire.add(held.remove(action.machine));
            case CUT -> cut(n, true, true);
            case CUT_OUT -> cut(n, false, true);
            case HEAL -> cut(n, false, false);
            case CRASH -> n.start(false);
            case WIPE -> wipe(n);
            case LAG -> n.lagging = true;
            case SYNC -> n.lagging = false;
            case TIMER -> timer(n);
            default -> throw new IllegalStateException();
        }
        stopLeavers();
        check();
        if (wipesLeft < tolerated && isQuiet() && isWhole()) {
            wipesLeft = tolerated;
        }
    }

    private void cut(Node n, boolean in, boolean out) {
        n.cutIn = in;
        n.cutOut = out;
        wire.removeIf(p -> out && p.from == n.number || in && p.to == n.number);
    }

    private void wipe(Node n) {
        wipesLeft--;
        n.disk = null;
        n.wipes++;
        n.start(false);
    }

    private void byDefault() {
        Node unsynced = unsynced();
        if (unsynced != null) {
            unsynced.sync();
        } else if (!wire.isEmpty()) {
            deliver(wire.remove(0));
        } else if (scripted < script.size() && mayPlay(script.get(scripted))) {
            play(script.get(scripted++));
        } else {
            timers++;
            if (timers % PATIENCE == 0) {
                healAll();
            }
            timer(
                    nodes.stream()
                            .filter(n -> !n.gone)
                            .min((a, b) -> Double.compare(due(a), due(b)))
                            .orElseThrow());
        }
    }

    /** A disk is lost by the script only while all machines are members and up to date. */
    private boolean mayPlay(Scripted what) {
        boolean leaving = nodes.stream().anyMatch(n -> n.leaving && !n.gone);
        return leader() != null
                && (!what.losesDisk || wipesLeft > 0)
                && !(what == Scripted.WIPE_AFTER_LEAVER && leaving);
    }

    private boolean isAnyCut() {
        return nodes.stream().anyMatch(n -> !n.gone && (n.cutIn || n.cutOut));
    }

    private void healAll() {
        nodes.stream().filter(n -> !n.gone).forEach(n -> cut(n, false, false));
        nodes.forEach(n -> n.lagging = false);
    }

    /** Whether all members that the leader knows are there and have applied all that it has. */
    private boolean isWhole() {
        Node leader = leader();
        if (leader == null || nodes.stream().anyMatch(n -> n.leaving && !n.gone)) {
            return false;
        }
        long here =
                nodes.stream()
                        .filter(n -> !n.gone)
                        .filter(n -> leader.replica.members().contains(n.replica.self()))
                        .filter(n -> n.replica.appliedIndex() == leader.replica.appliedIndex())
                        .count();
        return here == founders.size() && leader.replica.members().size() == here;
    }

    private double due(Node n) {
        return n.replica.nextTick();
    }

    private void timer(Node n) {
        now = Math.max(now + 1, due(n));
        n.replica.tick(now);
    }

    private void deliver(Packet p) {
        Node to = nodes.get(p.to);
        if (to.gone) {
            return;
        }
        if (p.recipient.id().isEmpty() || p.recipient.equals(to.replica.self())) {
            to.replica.receive(now, p.sender, p.message);
        } else {
            to.replica.noteSender(p.sender);
        }
    }

    private void play(Scripted what) {
        Node leader = leader();
        Node follower =
                nodes.stream().filter(n -> !n.gone && n != leader).findFirst().orElseThrow();
        switch (what) {
            case CHANGE -> change(leader);
            case REPLACE_FOLLOWER -> replace(follower);
            case REPLACE_LEADER -> replace(leader);
            case PLANNED_FOLLOWER -> leave(follower);
            case PLANNED_LEADER -> leave(leader);
            case WIPE_FOLLOWER, WIPE_AFTER_LEAVER -> wipe(follower);
            case RESTART_ALL -> nodes.forEach(n -> n.start(false));
            case CUT_LEADER -> cut(leader, true, true);
            default -> throw new IllegalStateException();
        }
    }

    private void change(Node leader) {
        long call = ++calls;
        long base = leader.state.version();
        Order order = new Order(base, base + 1, call);
        leader.waiting.put(call, order);
        leader.replica.propose(now, order.command(call));
    }

    /** An empty machine comes, and one is asked to leave; it goes once it may. */
    private void leave(Node n) {
        Node empty = new Node(nodes.size());
        nodes.add(empty);
        empty.start(false);
        wipesLeft--;
        n.leaving = true;
        n.replica.leave(now);
    }

    private void stopLeavers() {
        for (Node n : nodes) {
            if (n.leaving && !n.gone && n.replica.mayStop(now)) {
                n.gone = true;
                cut(n, true, true);
            }
        }
    }

    /** One machine is gone for good, an empty one takes its place. */
    private void replace(Node n) {
        wipesLeft--;
        n.gone = true;
        cut(n, true, true);
        Node empty = new Node(nodes.size());
        nodes.add(empty);
        empty.start(false);
    }

    /** One leader at a time, terms that go up, and a leader that has all that was acknowledged. */
    private void check() {
        int leaders = 0;
        for (Node n : nodes) {
            if (!n.gone && n.replica.isActiveLeader(now)) {
                leaders++;
                long term = n.replica.term();
                wrong(
                        term < lastTerm || term == lastTerm && lastLeader != n.number,
                        "term " + term + " of " + n.number + " after " + lastTerm);
                lastTerm = term;
                lastLeader = n.number;
                for (Order order : acknowledged) {
                    wrong(!n.state.has(order), order + " was acknowledged, the leader lacks it");
                }
            }
        }
        wrong(leaders > 1, "two leaders at once");
    }

    /** All is mended; by default the core must then serve within so many steps. */
    void recover(int steps) {
        healAll();
        wire.addAll(held);
        held.clear();
        int before = acknowledged.size();
        boolean asked = false;
        for (int i = 0; i < steps && wrong == null; i++) {
            if (isQuiet() && !asked && leader() != null) {
                change(leader());
                asked = true;
            }
            perform(Action.DEFAULT);
            if (acknowledged.size() > before && isSettled()) {
                return;
            }
            asked &= leader() != null;
        }
        wrong(wrong == null, "not recovered: " + describe());
    }

    /** All members that are up have applied the same and hold the same state. */
    private boolean isSettled() {
        Node leader = leader();
        if (leader == null || !isQuiet()) {
            return false;
        }
        for (Node n : nodes) {
            if (!n.gone && leader.replica.members().contains(n.replica.self())) {
                if (n.replica.appliedIndex() != leader.replica.appliedIndex()) {
                    return false;
                }
                wrong(
                        !Arrays.equals(n.state.state(), leader.state.state()),
                        "machine " + n.number + " has another state than the leader");
            }
        }
        return true;
    }

    private String describe() {
        StringBuilder text = new StringBuilder();
        for (Node n : nodes) {
            if (!n.gone) {
                text.append(n.replica.self())
                        .append(" term ")
                        .append(n.replica.term())
                        .append(" applied ")
                        .append(n.replica.appliedIndex())
                        .append(n.replica.isLearner() ? " learner; " : "; ");
            }
        }
        return text.toString();
    }

    long digest() {
        List<Object> all = new ArrayList<>();
        for (Node n : nodes) {
            all.add(n.replica);
            all.add(n.disk);
            all.add(n.unsynced);
            all.add(n.state.state());
            all.add(n.waiting);
            all.add(List.of(n.cutIn, n.cutOut, n.lagging, n.leaving, n.gone));
        }
        all.add(wire);
        all.add(held);
        all.add(acknowledged);
        all.add(scripted);
        all.add(wipesLeft);
        return CanonicalDigest.of(now, LEASE / 48, all.toArray());
    }
}
