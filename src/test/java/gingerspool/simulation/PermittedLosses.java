package gingerspool.simulation;

import gingerspool.simulation.ConsensusSimulation.Machine;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Losses one right after the other, as close as the deployment's rules permit: never more machines
 * than tolerated are lost at a time, where a machine is lost while it is down, frozen or cut off
 * and until it has had its time to catch up, and one that was removed until its successor has had
 * that. A planned replacement is no loss: its successor has had its time before the old one leaves.
 * Besides, all processes may be killed at once with their disks kept.
 */
final class PermittedLosses implements FaultPlan {
    /** The time that a machine has to catch up after its start, in milliseconds. */
    static final double CATCH_UP = 4000;

    /** How much of it the start of the process takes. */
    private static final double PROCESS_START = 1000;

    /** A leaving process ends by itself after this time at the latest. */
    private static final double LEAVES_WITHIN = 3000;

    private final ConsensusSimulation cluster;
    private final SplittableRandom chance;
    private final Map<String, Double> lostUntil = new HashMap<>();
    private boolean calm;
    private boolean aimed;
    private int successors;

    PermittedLosses(ConsensusSimulation cluster, SplittableRandom chance) {
        this.cluster = cluster;
        this.chance = chance;
    }

    @Override
    public void begin() {
        if (calm) {
            return;
        }
        int free = free();
        Machine machine = anyCalm();
        if (machine != null) {
            act(machine, free);
        }
        cluster.after(pause(), this::begin);
    }

    /** Half of the time the next loss comes as soon as it may. */
    private double pause() {
        double next =
                lostUntil.values().stream()
                        .filter(until -> until > cluster.now)
                        .min(Double::compare)
                        .orElse(cluster.now);
        boolean soonest = chance.nextBoolean() && next < cluster.now + 2 * CATCH_UP;
        return soonest ? next - cluster.now + 1 : chance.nextInt(3000);
    }

    private void act(Machine machine, int free) {
        double span = 100 + chance.nextInt(2500);
        switch (chance.nextInt(9)) {
            case 0, 1 -> lose(free, machine, span, true);
            case 2 -> lose(free, machine, span, false);
            case 3 -> cut(free, span);
            case 4 -> replace(free, machine);
            case 5, 6 -> replacePlanned(machine);
            case 7 -> aimed = true;
            default -> {
                if (chance.nextInt(3) == 0) {
                    killAll(0);
                }
            }
        }
    }

    /** How many more machines may be lost now. */
    private int free() {
        long lost = lostUntil.values().stream().filter(until -> until > cluster.now).count();
        return (int) Math.max(0, cluster.setup.tolerated() - lost);
    }

    private boolean isCalm(String ip) {
        return lostUntil.getOrDefault(ip, 0.0) <= cluster.now;
    }

    private Machine anyCalm() {
        List<Machine> calmOnes = calmOnes();
        return calmOnes.isEmpty() ? null : calmOnes.get(chance.nextInt(calmOnes.size()));
    }

    private List<Machine> calmOnes() {
        return cluster.machines.values().stream()
                .filter(m -> m.replica != null && isCalm(m.ip))
                .toList();
    }

    private void lostFor(String ip, double span) {
        lostUntil.merge(ip, cluster.now + span + CATCH_UP, Math::max);
    }

    private void lose(int free, Machine machine, double span, boolean disk) {
        if (free > 0) {
            lostFor(machine.ip, span);
            power(machine, span, disk);
        }
    }

    private void power(Machine machine, double span, boolean disk) {
        machine.stop();
        if (disk) {
            machine.disk = null;
        }
        cluster.after(
                span + PROCESS_START,
                () -> {
                    if (machine.replica == null && cluster.machines.containsValue(machine)) {
                        machine.start();
                    }
                });
    }

    /** Several machines, the leader often among them, are cut off, or not heard, or do not hear. */
    private void cut(int free, double span) {
        List<Machine> calmOnes = new ArrayList<>(calmOnes());
        List<Machine> cutOff = new ArrayList<>();
        calmOnes.sort((a, b) -> Boolean.compare(leads(b), leads(a)));
        if (chance.nextBoolean() && !calmOnes.isEmpty()) {
            calmOnes.add(calmOnes.remove(0));
        }
        while (cutOff.size() < free && !calmOnes.isEmpty()) {
            cutOff.add(calmOnes.remove(0));
        }
        int way = chance.nextInt(4);
        for (Machine side : cutOff) {
            lostFor(side.ip, span);
            for (Machine other : cluster.machines.values()) {
                if (!cutOff.contains(other)) {
                    cluster.cut(side, other, way != 0, way != 1);
                }
            }
        }
        cluster.after(span, cluster::joinAll);
    }

    private static boolean leads(Machine machine) {
        return machine.replica.isActiveLeader(machine.clock());
    }

    /** A machine goes for good, and a new one comes. */
    private void replace(int free, Machine machine) {
        if (free == 0) {
            return;
        }
        double span = 200 + chance.nextInt(2000);
        lostFor(machine.ip, span);
        machine.stop();
        cluster.machines.remove(machine.ip);
        cluster.after(span + PROCESS_START, cluster::addEmpty);
    }

    /** A new machine comes, has its time, and then the old one gets SIGTERM. */
    private void replacePlanned(Machine old) {
        if (successors > 0) {
            return;
        }
        successors++;
        cluster.after(
                PROCESS_START,
                () -> {
                    Machine successor = cluster.addEmpty();
                    cluster.after(
                            CATCH_UP - PROCESS_START + chance.nextInt(1000),
                            () -> terminate(old, successor));
                });
    }

    private void terminate(Machine old, Machine successor) {
        boolean there = cluster.machines.containsValue(old);
        if (there && (!isCalm(successor.ip) || !isCalm(old.ip) || successor.replica == null)) {
            cluster.after(200, () -> terminate(old, successor));
            return;
        }
        successors--;
        if (there && old.replica != null) {
            old.enter(() -> old.replica.leave(old.clock()));
            awaitEnd(old, cluster.now + LEAVES_WITHIN, old.life);
        }
    }

    private void awaitEnd(Machine old, double latest, long life) {
        if (old.life != life || !cluster.machines.containsValue(old)) {
            return;
        }
        if (cluster.now >= latest || old.replica.mayStop(old.clock())) {
            old.stop();
            cluster.machines.remove(old.ip);
        } else {
            cluster.after(20, () -> awaitEnd(old, latest, life));
        }
    }

    /** All processes end, this many disks go, and all come back within a second. */
    private void killAll(int wipes) {
        int left = wipes;
        for (Machine machine : List.copyOf(cluster.machines.values())) {
            if (machine.replica != null) {
                boolean wiped = left > 0 && isCalm(machine.ip) && chance.nextBoolean();
                left -= wiped ? 1 : 0;
                double span = 100 + chance.nextInt(900);
                lostFor(machine.ip, span);
                power(machine, span, wiped);
            }
        }
    }

    @Override
    public void acknowledged(Machine by) {
        if (aimed) {
            aimed = false;
            cluster.after(3 * chance.nextDouble(), () -> killAll(free()));
        }
    }

    @Override
    public void calm() {
        calm = true;
        aimed = false;
    }
}
