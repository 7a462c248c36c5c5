package gingerspool.simulation;

import gingerspool.simulation.ConsensusSimulation.Machine;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Plays the troubles of the core, drawn by a seed. Any number of machines may be down, cut off or
 * frozen, which costs only service; disks are lost no more than are tolerated until all have been
 * calm for long enough to catch up.
 */
final class SimulatedFaults implements FaultPlan {
    /** After so long without trouble a machine that lost its disk counts again, milliseconds. */
    private static final double CATCH_UP = 6000;

    /** A process that got SIGTERM is killed after this time, in milliseconds. */
    private static final double GRACE_PERIOD = 3000;

    /** How often a process that leaves looks whether it may stop, in milliseconds. */
    private static final double STOP_POLL = 20;

    private static final double LATEST_AFTER_ACKNOWLEDGEMENT = 4;
    private static final double CLOCK_STEP = 4 * ConsensusSimulation.LEASE;
    private static final double ACKNOWLEDGEMENTS_LOST = 0.7;

    private final ConsensusSimulation cluster;
    private final SplittableRandom chance;
    private boolean calm;
    private int wipesLeft;
    private double quietSince;

    /** What strikes once the next order is acknowledged, or null. */
    private FaultKind aimed;

    SimulatedFaults(ConsensusSimulation cluster, SplittableRandom chance) {
        this.cluster = cluster;
        this.chance = chance;
        wipesLeft = cluster.setup.tolerated();
    }

    /** One trouble after the other, from now on until calm; some overlap. */
    @Override
    public void begin() {
        if (calm) {
            return;
        }
        if (cluster.now > quietSince + CATCH_UP) {
            wipesLeft = cluster.setup.tolerated();
        }
        List<FaultKind> focus = cluster.setup.focus();
        List<FaultKind> kinds = focus.isEmpty() ? List.of(FaultKind.values()) : focus;
        FaultKind kind = kinds.get(chance.nextInt(kinds.size()));
        double span = 200 + chance.nextInt(3500);
        quietSince = Math.max(quietSince, cluster.now + span);
        if (!kind.losesDisk || wipesLeft > 0) {
            strike(kind, span);
        }
        boolean overlapping = chance.nextInt(focus.isEmpty() ? 3 : 8) != 1;
        overlapping = focus.isEmpty() ? !overlapping : overlapping;
        double pause = overlapping ? chance.nextInt(1500) : CATCH_UP + chance.nextInt(2500);
        cluster.after(overlapping ? pause : span + pause, this::begin);
    }

    /** Everything that can be mended is; nothing more happens. */
    @Override
    public void calm() {
        calm = true;
        aimed = null;
    }

    private Machine any() {
        List<Machine> all = new ArrayList<>(cluster.machines.values());
        return all.get(chance.nextInt(all.size()));
    }

    private Machine leaderOrAny() {
        return cluster.machines.values().stream()
                .filter(m -> m.replica != null && m.replica.isActiveLeader(m.clock()))
                .findFirst()
                .orElseGet(this::any);
    }

    private void strike(FaultKind kind, double span) {
        Machine machine = any();
        switch (kind) {
            case NODE_KILL -> power(machine, span, false);
            case WIPE -> power(machine, span, wipe());
            case NODE_FREEZE -> freeze(chance.nextBoolean() ? leaderOrAny() : machine, span);
            case HERD_KILL -> herd(span);
            case REPLACE_CORE -> replace(machine);
            case REPLACE_CORE_PLANNED -> replacePlanned(machine);
            case AFTER_ACK_KILL, AFTER_ACK_WIPE -> aimed = kind;
            case AFTER_ACK_KILL_TIMED -> {
                Machine leader = leaderOrAny();
                cluster.operators.meet(leader, false);
                cluster.after(5 + chance.nextInt(395), () -> power(leader, span, false));
            }
            case DISK_SLOW -> {
                machine.diskMs = 150;
                cluster.after(span, () -> machine.diskMs = ConsensusSimulation.DISK_MS);
            }
            case DISK_FULL -> {
                machine.full = true;
                cluster.after(span, machine::emptied);
            }
            case DISK_STALL -> machine.stalledUntil = cluster.now + span;
            case CLOCK_STEP -> stepClock(machine, span);
            case CORE_CUT, NODE_CUT -> cut(machine, span, true, true);
            case CORE_CUT_ONE_WAY -> {
                boolean out = chance.nextBoolean();
                cut(chance.nextBoolean() ? leaderOrAny() : machine, span, out, !out);
            }
            case CORE_CUT_LEADER -> {
                Machine leader = leaderOrAny();
                cut(leader, span, true, true);
                stepClock(leader, span);
                cluster.operators.race(leader);
            }
            case CORE_CUT_SEEDS -> {
                cut(machine, span, true, true);
                power(any(), 300 + chance.nextInt(500), false);
            }
            case CORE_CUT_BOTH -> {
                cut(machine, span, true, true);
                power(machine, 300, false);
                cluster.after(400, () -> others(machine).forEach(m -> power(m, 300, false)));
            }
            case CORE_CUT_MEET -> {
                cut(machine, span, true, true);
                cluster.operators.meet(machine, true);
                cluster.after(span + 2, () -> cluster.operators.meet(machine, false));
            }
            case ACK_LOST -> {
                cluster.operators.loseAnswers(ACKNOWLEDGEMENTS_LOST);
                cluster.after(span, cluster.operators::usualAnswerLoss);
            }
            case ROLL_TERM -> roll(new ArrayList<>(cluster.machines.values()));
            case PACKET_LOSS -> {
                cluster.loss = 0.2;
                cluster.after(span, () -> cluster.loss = 0);
            }
            case LINK_CUT -> {
                cluster.cut(leaderOrAny(), machine, true, true);
                cluster.after(span, cluster::joinAll);
            }
            case PARTITION -> partition(span);
            case LATE_MESSAGES -> {
                cluster.latest = 50 + chance.nextInt(300);
                cluster.after(span, () -> cluster.latest = ConsensusSimulation.USUAL_LATEST);
            }
            case GARBLED_SNAPSHOTS -> {
                cluster.garbled = 0.2;
                cluster.after(span, () -> cluster.garbled = 0);
            }
            default -> throw new IllegalStateException("no such fault: " + kind);
        }
    }

    private void partition(double span) {
        List<Machine> one = new ArrayList<>(cluster.machines.values());
        one.removeIf(m -> chance.nextBoolean());
        for (Machine side : one) {
            for (Machine other : cluster.machines.values()) {
                if (!one.contains(other)) {
                    cluster.cut(side, other, true, true);
                }
            }
        }
        cluster.after(span, cluster::joinAll);
    }

    private boolean wipe() {
        boolean may = wipesLeft > 0;
        wipesLeft -= may ? 1 : 0;
        return may;
    }

    private List<Machine> others(Machine machine) {
        return cluster.machines.values().stream().filter(m -> m != machine).toList();
    }

    private void herd(double span) {
        boolean all = chance.nextBoolean();
        for (Machine machine : List.copyOf(cluster.machines.values())) {
            if (all || chance.nextDouble() < 0.6) {
                power(machine, Math.min(span, 300 + chance.nextInt(500)), false);
            }
        }
    }

    /** A process has acknowledged an order: what is aimed at that strikes now. */
    @Override
    public void acknowledged(Machine by) {
        FaultKind kind = aimed;
        aimed = null;
        if (kind == null) {
            return;
        }
        cluster.after(
                LATEST_AFTER_ACKNOWLEDGEMENT * chance.nextDouble(),
                () -> {
                    if (kind == FaultKind.AFTER_ACK_KILL) {
                        power(by, 300 + chance.nextInt(2000), false);
                    } else {
                        wipeAfterAcknowledgement();
                    }
                });
    }

    /** As many disks go as may, and at times all other machines lose power. */
    private void wipeAfterAcknowledgement() {
        boolean othersToo = chance.nextInt(4) > 0;
        for (Machine machine : List.copyOf(cluster.machines.values())) {
            boolean wiped = chance.nextBoolean() && wipe();
            if (wiped || othersToo) {
                power(machine, 300 + chance.nextInt(500), wiped);
            }
        }
    }

    private void freeze(Machine machine, double span) {
        machine.freeze(chance.nextBoolean());
        cluster.after(span, machine::thaw);
    }

    private void stepClock(Machine machine, double span) {
        if (!cluster.setup.steadyClock()) {
            machine.ahead = -CLOCK_STEP;
            cluster.after(span, () -> machine.ahead = 0);
        }
    }

    private void cut(Machine machine, double span, boolean out, boolean in) {
        List<Machine> cutOff = new ArrayList<>(List.of(machine));
        if (cluster.setup.tolerated() > 1 && chance.nextBoolean()) {
            cutOff.add(any());
        }
        for (Machine other : others(machine)) {
            if (!cutOff.contains(other)) {
                for (Machine side : cutOff) {
                    cluster.cut(side, other, out, in);
                }
            }
        }
        cluster.after(span, cluster::joinAll);
    }

    private void power(Machine machine, double span, boolean wiped) {
        if (machine.replica == null || !cluster.machines.containsValue(machine)) {
            return;
        }
        machine.stop();
        if (wiped) {
            machine.disk = null;
        }
        cluster.after(
                span,
                () -> {
                    if (machine.replica == null && cluster.machines.containsValue(machine)) {
                        machine.start();
                    }
                });
    }

    private void replace(Machine machine) {
        wipe();
        remove(machine);
        cluster.after(1000 + chance.nextInt(1500), cluster::addEmpty);
    }

    /** The new machine comes first; then the old one gets SIGTERM and is removed. */
    private void replacePlanned(Machine machine) {
        wipe();
        cluster.addEmpty();
        cluster.after(1000, () -> terminate(machine, () -> remove(machine)));
    }

    private void remove(Machine machine) {
        if (machine.replica != null) {
            machine.stop();
        }
        cluster.machines.remove(machine.ip);
    }

    private void terminate(Machine machine, Runnable then) {
        if (machine.replica == null) {
            then.run();
            return;
        }
        machine.enter(() -> machine.replica.leave(machine.clock()));
        awaitStop(machine, machine.life, cluster.now + GRACE_PERIOD, then);
    }

    /** It ends once it may, and is killed at the end of its grace period. */
    private void awaitStop(Machine machine, long life, double killAt, Runnable then) {
        boolean ended = machine.replica == null || machine.life != life;
        if (ended || cluster.now >= killAt || machine.replica.mayStop(machine.clock())) {
            then.run();
            return;
        }
        cluster.after(STOP_POLL, () -> awaitStop(machine, life, killAt, then));
    }

    /** One machine after the other gets SIGTERM and starts again. */
    private void roll(List<Machine> left) {
        if (left.isEmpty() || calm) {
            return;
        }
        Machine machine = left.remove(0);
        terminate(machine, () -> power(machine, 200 + chance.nextInt(300), false));
        quietSince = Math.max(quietSince, cluster.now + GRACE_PERIOD);
        cluster.after(GRACE_PERIOD + 1000, () -> roll(left));
    }
}
