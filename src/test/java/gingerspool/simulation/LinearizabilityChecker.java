package gingerspool.simulation;

import gingerspool.simulation.OperatorHistory.Answer;
import gingerspool.simulation.OperatorHistory.Call;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks whether a history of operators' calls is linearizable: whether each call can be given one
 * moment between its begin and its end at which it took effect, such that all answers are those of
 * one configuration that is changed by one call after the other (Wing and Gong, in the form that
 * goes through the calls by time and memoises what was reached, as Lowe's and Porcupine do).
 *
 * <p>A configuration of the search is a state of the model and the set of open calls that have
 * taken effect. Calls that change nothing take effect as soon as their answer is true, since that
 * hinders no other call; so the search branches only over orders that may be taken next.
 */
final class LinearizabilityChecker {
    /** More configurations at one moment than this mean that the history can't be checked. */
    private static final int CONFIGURATIONS_MOST = 200_000;

    /** A state of the model: the orders taken one after the other; equal chains are one object. */
    private static final class State {
        final State before;
        final Order last;
        private final Map<Order, State> after = new HashMap<>();

        State(State before, Order last) {
            this.before = before;
            this.last = last;
        }

        long version() {
            return last == null ? 0 : last.version();
        }

        boolean accepts(Order order) {
            return order.base() == version() && order.version() > version();
        }

        boolean has(Order order) {
            State at = this;
            while (at.version() > order.version()) {
                at = at.before;
            }
            return order.equals(at.last);
        }

        State take(Order order) {
            return after.computeIfAbsent(order, o -> new State(this, o));
        }

        /** Whether a call has this answer here without changing anything. */
        boolean answers(Call call) {
            Answer answer = call.answer;
            if (call.order == null) {
                return answer.version() == version()
                        && answer.content() == (last == null ? 0 : last.content());
            }
            return switch (answer.status()) {
                case ConfigurationReplica.TAKEN ->
                        has(call.order) && answer.version() == call.order.version();
                case ConfigurationReplica.OTHER_VERSION ->
                        !has(call.order) && call.order.base() != version();
                case ConfigurationReplica.INVALID ->
                        !has(call.order) && call.order.version() <= version();
                default -> false;
            };
        }
    }

    private record Configuration(State state, BitSet done) {}

    private record Event(double at, boolean end, Call call) {}

    private Set<Configuration> reached = new HashSet<>();

    /** Calls that have begun and not ended, by slot; only those that were answered. */
    private final List<Call> open = new ArrayList<>();

    /** Orders of calls without an answer, by the version that they build on. */
    private final Map<Long, Set<Order>> unanswered = new HashMap<>();

    private LinearizabilityChecker() {
        reached.add(new Configuration(new State(null, null), new BitSet()));
    }

    /** What is not linearizable in this history, or null. */
    static String check(List<Call> calls) {
        List<Event> events = new ArrayList<>();
        for (Call call : calls) {
            events.add(new Event(call.begin, false, call));
            if (call.answer != null) {
                events.add(new Event(call.end, true, call));
            }
        }
        events.sort(Comparator.comparingDouble(Event::at).thenComparing(Event::end));
        LinearizabilityChecker checker = new LinearizabilityChecker();
        for (Event event : events) {
            if (!event.end) {
                checker.begin(event.call);
            } else if (!checker.end(event.call)) {
                return "not linearizable: " + event.call;
            }
        }
        return null;
    }

    private void begin(Call call) {
        if (call.answer != null) {
            int slot = open.indexOf(null);
            if (slot < 0) {
                open.add(call);
            } else {
                open.set(slot, call);
            }
        } else if (call.order != null) {
            unanswered.computeIfAbsent(call.order.base(), b -> new HashSet<>()).add(call.order);
        }
    }

    /** Keeps what is reached with this call having taken effect; false if that is nothing. */
    private boolean end(Call call) {
        int slot = open.indexOf(call);
        Set<Configuration> kept = new HashSet<>();
        Set<Configuration> seen = new HashSet<>();
        ArrayDeque<Configuration> next = new ArrayDeque<>();
        reached.forEach(c -> add(settled(c), seen, next));
        while (!next.isEmpty()) {
            Configuration at = next.poll();
            if (at.done.get(slot)) {
                BitSet done = (BitSet) at.done.clone();
                done.clear(slot);
                kept.add(new Configuration(at.state, done));
            } else {
                acceptable(at).forEach(o -> add(taken(at, o), seen, next));
            }
        }
        open.set(slot, null);
        reached = kept;
        return !kept.isEmpty();
    }

    private static void add(
            Configuration found, Set<Configuration> seen, ArrayDeque<Configuration> next) {
        if (seen.add(found)) {
            next.add(found);
            if (seen.size() > CONFIGURATIONS_MOST) {
                throw new IllegalStateException("too many configurations to check");
            }
        }
    }

    /** The orders that may take effect next. */
    private Set<Order> acceptable(Configuration at) {
        Set<Order> orders = new HashSet<>(unanswered.getOrDefault(at.state.version(), Set.of()));
        for (int i = 0; i < open.size(); i++) {
            Call call = open.get(i);
            if (call != null && !at.done.get(i) && isTaken(call)) {
                orders.add(call.order);
            }
        }
        orders.removeIf(o -> !at.state.accepts(o));
        return orders;
    }

    private static boolean isTaken(Call call) {
        return call.order != null && call.answer.status() == ConfigurationReplica.TAKEN;
    }

    private Configuration taken(Configuration at, Order order) {
        return settled(new Configuration(at.state.take(order), at.done));
    }

    /** All calls whose answer is true in this state take effect in it. */
    private Configuration settled(Configuration at) {
        BitSet done = (BitSet) at.done.clone();
        for (int i = 0; i < open.size(); i++) {
            Call call = open.get(i);
            if (call != null && !done.get(i) && at.state.answers(call)) {
                done.set(i);
            }
        }
        return new Configuration(at.state, done);
    }
}
