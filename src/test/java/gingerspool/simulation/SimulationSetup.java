package gingerspool.simulation;

import gingerspool.consensus.ConsensusSafeguard;
import java.util.List;
import java.util.Set;

/**
 * How a history is played: size of the core, losses tolerated, the safeguards taken out, whether
 * clocks are steady, whether the real configuration state is used in place of its model, for how
 * long, in simulated milliseconds, and with which troubles: in focus, these come quickly one after
 * the other; with none named, all kinds come.
 */
record SimulationSetup(
        int machines,
        int tolerated,
        Set<ConsensusSafeguard> disabled,
        boolean steadyClock,
        boolean realConfiguration,
        double span,
        List<FaultKind> focus) {
    private static final double USUAL_SPAN = 30_000;
    private static final int LEAST_VOTERS = 3;

    static SimulationSetup of(int machines, int tolerated) {
        return new SimulationSetup(
                machines, tolerated, Set.of(), true, false, USUAL_SPAN, List.of());
    }

    SimulationSetup without(ConsensusSafeguard safeguard) {
        return new SimulationSetup(
                machines,
                tolerated,
                Set.of(safeguard),
                steadyClock,
                realConfiguration,
                span,
                focus);
    }

    SimulationSetup withClockSteps() {
        return new SimulationSetup(
                machines, tolerated, disabled, false, realConfiguration, span, focus);
    }

    SimulationSetup withRealConfiguration() {
        return new SimulationSetup(machines, tolerated, disabled, steadyClock, true, span, focus);
    }

    SimulationSetup lasting(double milliseconds) {
        return new SimulationSetup(
                machines, tolerated, disabled, steadyClock, realConfiguration, milliseconds, focus);
    }

    SimulationSetup focusedOn(FaultKind... kinds) {
        return new SimulationSetup(
                machines,
                tolerated,
                disabled,
                steadyClock,
                realConfiguration,
                span,
                List.of(kinds));
    }

    /** How many machines vote once all has been calm for a while; the others are learners. */
    int votersWanted() {
        return Math.min(machines, Math.max(LEAST_VOTERS, 2 * tolerated + 1));
    }

    boolean guarded(ConsensusSafeguard safeguard) {
        return !disabled.contains(safeguard);
    }
}
