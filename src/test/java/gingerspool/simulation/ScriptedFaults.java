package gingerspool.simulation;

import gingerspool.simulation.ConsensusSimulation.Machine;
import java.util.ArrayList;
import java.util.List;

/** Troubles told in advance, by the time at which they come, in simulated milliseconds. */
final class ScriptedFaults implements FaultPlan {
    private record Step(double at, Runnable what) {}

    private final ConsensusSimulation cluster;
    private final List<Step> steps = new ArrayList<>();
    private Runnable afterAcknowledgement;

    ScriptedFaults(ConsensusSimulation cluster) {
        this.cluster = cluster;
    }

    ScriptedFaults at(double at, Runnable what) {
        steps.add(new Step(at, what));
        return this;
    }

    /** Right after the first acknowledgement from this time on. */
    ScriptedFaults afterAcknowledgement(double at, Runnable what) {
        return at(at, () -> afterAcknowledgement = what);
    }

    @Override
    public void begin() {
        steps.forEach(s -> cluster.after(s.at() - cluster.now, s.what()));
    }

    @Override
    public void acknowledged(Machine by) {
        Runnable what = afterAcknowledgement;
        afterAcknowledgement = null;
        if (what != null) {
            cluster.after(1, what);
        }
    }

    @Override
    public void calm() {}

    // ---- Troubles ----

    /** The machines that vote, the leader first. */
    List<Machine> voters() {
        List<Machine> found = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.replica != null && !machine.replica.isLearner()) {
                found.add(
                        machine.replica.isActiveLeader(machine.clock()) ? 0 : found.size(),
                        machine);
            }
        }
        return found;
    }

    /** The process ends, and starts again after a while, with its disk or an empty one. */
    void restart(Machine machine, double span, boolean wiped) {
        if (machine.replica != null) {
            machine.stop();
        }
        if (wiped) {
            machine.disk = null;
        }
        cluster.after(
                span,
                () -> {
                    if (cluster.machines.containsValue(machine) && machine.replica == null) {
                        machine.start();
                    }
                });
    }

    /** Gone for good. */
    void remove(Machine machine) {
        if (machine.replica != null) {
            machine.stop();
        }
        cluster.machines.remove(machine.ip);
    }

    /** SIGTERM: the process ends once it may, or at the latest after this time. */
    void terminate(Machine machine, double latest, Runnable then) {
        machine.enter(() -> machine.replica.leave(machine.clock()));
        awaitEnd(machine, cluster.now + latest, then);
    }

    private void awaitEnd(Machine machine, double latest, Runnable then) {
        if (machine.replica == null
                || cluster.now >= latest
                || machine.replica.mayStop(machine.clock())) {
            then.run();
        } else {
            cluster.after(20, () -> awaitEnd(machine, latest, then));
        }
    }

    /** These reach each other only. */
    void cut(List<Machine> side, double span) {
        for (Machine machine : side) {
            for (Machine other : cluster.machines.values()) {
                if (!side.contains(other)) {
                    cluster.cut(machine, other, true, true);
                }
            }
        }
        cluster.after(span, cluster::joinAll);
    }

    /** So many voters lose their disks, the leader among them or not, all others their power. */
    void closingWipe(int wiped, boolean leader) {
        List<Machine> order = voters();
        if (!leader && !order.isEmpty()) {
            order.add(order.remove(0));
        }
        for (Machine machine : List.copyOf(cluster.machines.values())) {
            restart(machine, 500, order.indexOf(machine) >= 0 && order.indexOf(machine) < wiped);
        }
    }
}
