package gingerspool.simulation;

import gingerspool.consensus.Member;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Operators who call the simulated core as the protocol says: through any machine, following
 * redirects twice, sending the same order again to another machine after silence or an unclear
 * answer, racing under one version, with several orders under way. What they see is recorded.
 */
final class SimulatedOperators {
    /** An operator gives up a call after so long without an answer, in milliseconds. */
    private static final double SILENCE = 1000;

    /** A control process answers an order unclearly after this time, in milliseconds. */
    private static final double COMMIT_TIMEOUT = 800;

    private static final int ORDERS_UNDER_WAY = 8;
    private static final int REDIRECTS = 2;
    private static final int TRIES = 6;
    private static final double USUAL_ANSWER_LOSS = 0.05;
    private static final double REPEAT_WITHIN = 20_000;
    private static final int UNAVAILABLE = 503;
    private static final int REDIRECT = 307;

    /** An order or a read (null) on its way to a clear answer. */
    private final class WorkerAttempt {
        final Order order;
        int triesLeft;
        boolean settled;
        double pause = 20;

        WorkerAttempt(Order order, int triesLeft) {
            this.order = order;
            this.triesLeft = triesLeft;
        }

        void send(int redirects, String to) {
            if (stopped) {
                return;
            }
            triesLeft--;
            List<ConsensusSimulation.Machine> all = new ArrayList<>(cluster.machines.values());
            ConsensusSimulation.Machine machine =
                    to == null ? all.get(chance.nextInt(all.size())) : cluster.machines.get(to);
            new Try(this, history.begin(order, cluster.now), redirects).go(machine);
        }

        void again() {
            if (settled || triesLeft <= 0) {
                settle();
                return;
            }
            cluster.after(pause * (0.5 + chance.nextDouble()), () -> send(REDIRECTS, null));
            pause = Math.min(400, pause * 2);
        }

        void settle() {
            if (!settled) {
                settled = true;
                underWay -= order == null ? 0 : 1;
            }
        }
    }

    /** One call over a connection. */
    final class Try {
        private final WorkerAttempt errand;
        private final OperatorHistory.Call call;
        private final int redirects;
        private boolean over;

        Try(WorkerAttempt errand, OperatorHistory.Call call, int redirects) {
            this.errand = errand;
            this.call = call;
            this.redirects = redirects;
        }

        void go(ConsensusSimulation.Machine machine) {
            cluster.after(
                    SILENCE,
                    () -> {
                        if (!over) {
                            over = true;
                            errand.again();
                        }
                    });
            if (machine != null) {
                cluster.after(delay(), () -> machine.enter(() -> run(machine)));
            }
        }

        /** What a control process does with a call. */
        private void run(ConsensusSimulation.Machine machine) {
            double clock = machine.clock();
            if (!machine.replica.isActiveLeader(clock)) {
                Member leader = machine.replica.leader(clock);
                boolean known = leader != null && !leader.equals(machine.replica.self());
                answer(known ? REDIRECT : UNAVAILABLE, known ? leader.ip() : null, true);
            } else if (call.order == null) {
                ConfigurationReplica state = machine.state;
                answerClearly(ConfigurationReplica.TAKEN, state.version(), state.content());
            } else {
                long number = ++calls;
                machine.waiting.put(number, this);
                machine.replica.propose(clock, call.order.command(number));
                cluster.after(
                        COMMIT_TIMEOUT,
                        () ->
                                machine.enter(
                                        () -> {
                                            if (machine.waiting.remove(number, this)) {
                                                answer(UNAVAILABLE, null, false);
                                            }
                                        }));
            }
        }

        /** No clear answer: a redirect, or that it is unavailable just now. */
        private void answer(int status, String leader, boolean notRun) {
            travel(
                    () -> {
                        if (notRun) {
                            history.notRun(call);
                        }
                        if (status == REDIRECT && redirects > 0) {
                            errand.triesLeft++;
                            errand.send(redirects - 1, leader);
                        } else {
                            errand.again();
                        }
                    });
        }

        void answerClearly(int status, long version, long content) {
            travel(
                    () -> {
                        history.end(
                                call,
                                cluster.now,
                                new OperatorHistory.Answer(status, version, content));
                        seen(errand, call);
                    });
        }

        private void travel(Runnable seen) {
            if (chance.nextDouble() < answerLoss) {
                return;
            }
            cluster.after(
                    delay(),
                    () -> {
                        if (!over) {
                            over = true;
                            seen.run();
                        }
                    });
        }
    }

    private final ConsensusSimulation cluster;
    private final SplittableRandom chance;
    private final OperatorHistory history = new OperatorHistory();
    private final Set<Order> acknowledged = new LinkedHashSet<>();
    private double answerLoss = USUAL_ANSWER_LOSS;
    private int underWay;
    private long calls;
    private long contents;

    /** The newest version that an operator was told of. */
    private long known;

    private boolean calm;
    private boolean stopped;
    private WorkerAttempt lastOrder;
    private WorkerAttempt lastRead;

    SimulatedOperators(ConsensusSimulation cluster, SplittableRandom chance) {
        this.cluster = cluster;
        this.chance = chance;
    }

    private double delay() {
        return 0.5 + 2 * chance.nextDouble();
    }

    /** Begins to send orders and reads. */
    void begin() {
        orders();
        reads();
    }

    /** Such a share of the answers is lost from now on. */
    void loseAnswers(double share) {
        answerLoss = share;
    }

    void usualAnswerLoss() {
        answerLoss = USUAL_ANSWER_LOSS;
    }

    private void orders() {
        if (calm) {
            return;
        }
        switch (chance.nextInt(12)) {
            case 0, 1 -> race(false);
            case 2 -> race(true);
            case 3 -> {
                for (int i = 0; i < ORDERS_UNDER_WAY; i++) {
                    submit(fresh(known + i), TRIES);
                }
            }
            case 4 -> atTwoMembers();
            case 5 -> submit(fresh(known), Integer.MAX_VALUE);
            default -> submit(fresh(known), TRIES);
        }
        cluster.after(30 + chance.nextInt(400), this::orders);
    }

    private Order fresh(long base) {
        return new Order(base, base + 1 + chance.nextInt(3), ++contents);
    }

    /** An order that goes to this machine first. */
    void meet(ConsensusSimulation.Machine machine, boolean hard) {
        WorkerAttempt errand = new WorkerAttempt(fresh(known), hard ? Integer.MAX_VALUE : TRIES);
        underWay++;
        errand.send(REDIRECTS, machine.ip);
    }

    /** Two orders on one version, one of them sent to this machine first. */
    void race(ConsensusSimulation.Machine machine) {
        meet(machine, true);
        submit(fresh(known), TRIES);
    }

    private void race(boolean sameVersion) {
        Order first = fresh(known);
        Order second = fresh(known);
        submit(first, TRIES);
        submit(
                sameVersion ? new Order(first.base(), first.version(), second.content()) : second,
                TRIES);
    }

    /** The same order at two members at once. */
    private void atTwoMembers() {
        Order order = fresh(known);
        submit(order, TRIES);
        submit(order, TRIES);
    }

    private WorkerAttempt submit(Order order, int tries) {
        WorkerAttempt errand = new WorkerAttempt(order, tries);
        if (underWay < ORDERS_UNDER_WAY || calm) {
            underWay++;
            errand.send(REDIRECTS, null);
        }
        return errand;
    }

    private void reads() {
        if (!calm) {
            new WorkerAttempt(null, 2).send(REDIRECTS, null);
            cluster.after(50 + chance.nextInt(500), this::reads);
        }
    }

    private void seen(WorkerAttempt errand, OperatorHistory.Call call) {
        if (call.answer.status() == ConfigurationReplica.TAKEN) {
            known = Math.max(known, call.answer.version());
            if (call.order != null && acknowledged.add(call.order) && chance.nextInt(5) == 0) {
                cluster.after(REPEAT_WITHIN * chance.nextDouble(), () -> submit(call.order, TRIES));
            }
        }
        errand.settle();
    }

    /** A control process has applied a command; answers the caller that waits there, if any. */
    void applied(ConsensusSimulation.Machine machine, byte[] command) {
        Order order = Order.of(command);
        int status = machine.state.take(order);
        Try waiting = machine.waiting.remove(Order.callOf(command));
        if (waiting != null) {
            waiting.answerClearly(status, order.version(), order.content());
            if (status == ConfigurationReplica.TAKEN) {
                cluster.acknowledging(machine);
            }
        }
    }

    /** No new orders; one last order and one last read must be answered in the calm that begins. */
    void calm() {
        calm = true;
        usualAnswerLoss();
        lastOrder = submit(fresh(known), Integer.MAX_VALUE);
        lastRead = new WorkerAttempt(null, Integer.MAX_VALUE);
        lastRead.send(REDIRECTS, null);
    }

    /** Nothing more is sent. */
    void stop() {
        stopped = true;
    }

    int ordersAcknowledged() {
        return acknowledged.size();
    }

    int callsAnswered() {
        return (int) history.calls().stream().filter(c -> c.answer != null).count();
    }

    /** What is wrong with what the operators saw, or null. */
    String verdict(ConfigurationReplica leader) {
        if (!lastOrder.settled || !lastRead.settled) {
            return "the last order or read was not answered in the calm at the end";
        }
        for (Order order : acknowledged) {
            if (!leader.has(order)) {
                return order + " was acknowledged and is gone";
            }
        }
        return LinearizabilityChecker.check(history.calls());
    }
}
