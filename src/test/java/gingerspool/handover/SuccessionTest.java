package gingerspool.handover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.handover.Succession.Action;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The state machine of a hand-over: single transitions, and random interleavings of two processes.
 */
public class SuccessionTest {
    /** Sequences of inputs, and the action that the last input returns. */
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {"alone", Action.SERVE_ALONE},
            {"begin", Action.REQUEST_STATE},
            {"begin state", Action.REQUEST_RETIREMENT},
            {"begin nostate", Action.SERVE_ALONE},
            {"begin state nostate", Action.NONE},
            {"begin state retired", Action.SERVE},
            {"begin state refused", Action.REQUEST_STATE},
            {"begin state refused state", Action.REQUEST_RETIREMENT},
            {"begin retired", Action.NONE},
            {"begin refused", Action.NONE},
            {"begin gone", Action.SERVE_ALONE},
            {"begin state gone", Action.SERVE},
            {"begin state refused gone", Action.SERVE_ALONE},
            {"begin state retired gone", Action.NONE},
            {"begin state retired gone gone", Action.NONE},
            {"begin state gone retired", Action.NONE},
            {"begin nostate state", Action.NONE},
            {"alone state", Action.NONE},
            {"alone retired", Action.NONE},
            {"alone gone", Action.NONE},
            {"begin join:b", Action.REFUSE},
            {"begin state join:b", Action.REFUSE},
            {"begin state retired join:b", Action.SEND_STATE},
            {"alone join:b", Action.SEND_STATE},
            {"alone join:b join:b", Action.SEND_STATE},
            {"alone join:b join:c", Action.SEND_STATE},
            {"alone take:b:0", Action.REFUSE},
            {"alone join:b take:b:0", Action.RETIRE},
            {"alone join:b take:c:0", Action.REFUSE},
            {"alone join:b take:b:1", Action.REFUSE},
            {"alone join:b command take:b:0", Action.REFUSE},
            {"alone join:b command take:b:1", Action.RETIRE},
            {"alone join:b command join:b take:b:0", Action.RETIRE},
            {"alone command join:b take:b:0", Action.RETIRE},
            {"alone join:b join:c take:b:0", Action.REFUSE},
            {"alone join:b take:b:0 take:b:0", Action.REFUSE},
            {"alone join:b take:b:0 join:c", Action.REFUSE},
            {"alone successorgone:b", Action.NONE},
            {"alone join:b successorgone:b", Action.NONE},
            {"alone join:b successorgone:b take:b:0", Action.REFUSE},
            {"alone join:b take:b:0 successorgone:c", Action.NONE},
            {"alone join:b take:b:0 successorgone:b", Action.RESUME_SERVING},
            {"alone join:b take:b:0 successorgone:b join:c", Action.SEND_STATE},
        };
    }

    private static Action applyInput(Succession succession, String input) {
        String[] parts = input.split(":");
        return switch (parts[0]) {
            case "alone" -> {
                succession.begin();
                yield succession.stateUnavailable();
            }
            case "begin" -> succession.begin();
            case "state" -> succession.stateReceived();
            case "nostate" -> succession.stateUnavailable();
            case "retired" -> succession.predecessorRetired();
            case "refused" -> succession.retirementRefused();
            case "gone" -> succession.predecessorGone();
            case "join" -> succession.stateRequested(parts[1]);
            case "take" -> succession.retirementRequested(parts[1], Long.parseLong(parts[2]));
            case "successorgone" -> succession.successorGone(parts[1]);
            case "command" -> {
                succession.countCommandForSuccessor();
                yield Action.NONE;
            }
            default -> throw new IllegalArgumentException(input);
        };
    }

    @Test(dataProvider = "transitions")
    public void inputsYieldTheExpectedAction(String inputs, Action expected) {
        Succession succession = new Succession();
        Action action = Action.NONE;
        for (String input : inputs.split(" ")) {
            action = applyInput(succession, input);
        }
        assertEquals(action, expected);
    }

    // ---- Two processes whose calls are delayed and reordered, checked independently ----

    /**
     * One process as the check sees it. Whether it serves follows from the actions it was given,
     * not from the state machine under test.
     */
    private static final class Process {
        final String name;
        final Succession succession = new Succession();
        final List<Integer> suspensions = new ArrayList<>();
        final List<Integer> deferred = new ArrayList<>();
        boolean serving;
        boolean dead;
        long commandsApplied;
        int stateRequests;

        Process(String name) {
            this.name = name;
        }
    }

    /** Commands and other calls are two queues: order holds only within each. */
    private record Delivery(Process receiver, boolean isCommand, Runnable handler) {}

    /**
     * Runs one random interleaving; returns the violation found, or null.
     *
     * @param countsCommands false disables the count of commands, so that violations must be found
     */
    private static String simulate(long seed, boolean countsCommands) {
        SplittableRandom random = new SplittableRandom(seed);
        Process predecessor = new Process("a");
        Process successor = new Process("b");
        List<Delivery> network = new ArrayList<>();
        List<Integer> acknowledged = new ArrayList<>();
        predecessor.succession.begin();
        predecessor.succession.stateUnavailable();
        predecessor.serving = true;
        class Actions {
            void perform(Process process, Action action) {
                switch (action) {
                    case REQUEST_STATE -> {
                        int requestNumber = ++successor.stateRequests;
                        successor.deferred.clear();
                        network.add(
                                new Delivery(
                                        predecessor,
                                        false,
                                        () -> {
                                            if (predecessor.succession.stateRequested("b")
                                                    == Action.SEND_STATE) {
                                                predecessor.stateRequests = requestNumber;
                                                List<Integer> state =
                                                        List.copyOf(predecessor.suspensions);
                                                network.add(
                                                        new Delivery(
                                                                successor,
                                                                false,
                                                                () -> {
                                                                    successor.suspensions.clear();
                                                                    successor.suspensions.addAll(
                                                                            state);
                                                                    successor.commandsApplied = 0;
                                                                    Action nextAction =
                                                                            successor.succession
                                                                                    .stateReceived();
                                                                    List<Integer> deferred =
                                                                            List.copyOf(
                                                                                    successor
                                                                                            .deferred);
                                                                    successor.deferred.clear();
                                                                    deferred.forEach(
                                                                            suspension ->
                                                                                    receiveCommand(
                                                                                            successor,
                                                                                            suspension,
                                                                                            successor
                                                                                                    .stateRequests));
                                                                    perform(successor, nextAction);
                                                                }));
                                            } else {
                                                network.add(
                                                        new Delivery(
                                                                successor,
                                                                false,
                                                                () ->
                                                                        perform(
                                                                                successor,
                                                                                successor.succession
                                                                                        .stateUnavailable())));
                                            }
                                        }));
                    }
                    case REQUEST_RETIREMENT -> {
                        long commandsApplied = successor.commandsApplied;
                        network.add(
                                new Delivery(
                                        predecessor,
                                        false,
                                        () -> {
                                            Action nextAction =
                                                    predecessor.succession.retirementRequested(
                                                            "b",
                                                            countsCommands
                                                                    ? commandsApplied
                                                                    : countCommandsSent(
                                                                            predecessor));
                                            if (nextAction == Action.RETIRE) {
                                                predecessor.serving = false;
                                                network.add(
                                                        new Delivery(
                                                                successor,
                                                                false,
                                                                () ->
                                                                        perform(
                                                                                successor,
                                                                                successor.succession
                                                                                        .predecessorRetired())));
                                            } else {
                                                network.add(
                                                        new Delivery(
                                                                successor,
                                                                false,
                                                                () ->
                                                                        perform(
                                                                                successor,
                                                                                successor.succession
                                                                                        .retirementRefused())));
                                            }
                                        }));
                    }
                    case SERVE, SERVE_ALONE, RESUME_SERVING -> process.serving = true;
                    default -> {}
                }
            }
        }
        Actions actions = new Actions();
        int suspensions = 0;
        boolean successorStarted = false;
        for (int step = 0; step < 60; step++) {
            switch (random.nextInt(8)) {
                case 0 -> {
                    if (!successorStarted) {
                        successorStarted = true;
                        actions.perform(successor, successor.succession.begin());
                    }
                }
                case 1 -> {
                    // The serving process receives an operator's command and sends it on to the
                    // successor before it acknowledges it.
                    Process serving = predecessor.serving && !predecessor.dead ? predecessor : null;
                    if (serving != null) {
                        int suspension = ++suspensions;
                        serving.suspensions.add(suspension);
                        if (serving.succession.countCommandForSuccessor()) {
                            int requestNumber = predecessor.stateRequests;
                            network.add(
                                    new Delivery(
                                            successor,
                                            true,
                                            () ->
                                                    receiveCommand(
                                                            successor, suspension, requestNumber)));
                        }
                        acknowledged.add(suspension);
                    }
                }
                case 2 -> {
                    if (successorStarted && random.nextInt(6) == 0 && !successor.dead) {
                        successor.dead = true;
                        successor.serving = false;
                        network.removeIf(delivery -> delivery.receiver() == successor);
                        if (!predecessor.dead) {
                            actions.perform(predecessor, predecessor.succession.successorGone("b"));
                        }
                    }
                }
                default -> {
                    if (!network.isEmpty()) {
                        // Delivers the first call of a random receiver and queue.
                        Delivery chosen = network.get(random.nextInt(network.size()));
                        Process receiver = chosen.receiver();
                        Delivery next =
                                network.stream()
                                        .filter(
                                                delivery ->
                                                        delivery.receiver() == receiver
                                                                && delivery.isCommand()
                                                                        == chosen.isCommand())
                                        .findFirst()
                                        .orElseThrow();
                        network.remove(next);
                        if (!receiver.dead) {
                            next.handler().run();
                        }
                    }
                }
            }
            if (successor.serving && predecessor.serving) {
                return seed + ": both processes serve clients";
            }
            if (successor.serving && !successor.suspensions.containsAll(acknowledged)) {
                return seed + ": the successor serves without an acknowledged suspension";
            }
        }
        while (!network.isEmpty()) {
            Delivery next = network.remove(0);
            if (!next.receiver().dead) {
                next.handler().run();
            }
        }
        if (!successor.serving && !predecessor.serving) {
            return seed + ": neither process serves clients";
        }
        return successor.serving && !successor.suspensions.containsAll(acknowledged)
                ? seed + ": a suspension was lost"
                : null;
    }

    /** A command that arrives before the state is deferred until then. */
    private static void receiveCommand(Process successor, int suspension, int requestNumber) {
        if (!successor.succession.isServing() && requestNumber != successor.stateRequests) {
            return;
        }
        if (successor.succession.predecessorState()
                == Succession.PredecessorState.STATE_REQUESTED) {
            successor.deferred.add(suspension);
        } else {
            successor.suspensions.add(suspension);
            successor.commandsApplied++;
        }
    }

    /** The predecessor's own count of commands sent, whatever the successor has received. */
    private static long countCommandsSent(Process predecessor) {
        for (long n = 0; n < 100; n++) {
            if (predecessor.succession.hasSent(n)) {
                return n;
            }
        }
        return -1;
    }

    @Test
    public void randomInterleavingsKeepOneServerAndLoseNoSuspension() {
        for (long seed = 0; seed < 20_000; seed++) {
            assertEquals(simulate(seed, true), null);
        }
    }

    /** Without the count of commands, the simulation must find a lost suspension. */
    @Test
    public void simulationDetectsLostSuspensionWithoutCommandCount() {
        Predicate<String> isLostSuspension =
                violation -> violation != null && violation.contains("suspension");
        int findings = 0;
        for (long seed = 0; seed < 20_000; seed++) {
            findings += isLostSuspension.test(simulate(seed, false)) ? 1 : 0;
        }
        assertTrue(findings > 0);
    }
}
