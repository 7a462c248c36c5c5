package gingerspool.simulation;

import java.util.ArrayList;
import java.util.List;

/** What operators did and saw: each call with the times when it was sent and answered. */
final class OperatorHistory {
    /** A clear answer: the status, and the version and content that it reports. */
    record Answer(int status, long version, long content) {}

    /** One call; without an answer it may take effect at any time after its begin, or never. */
    static final class Call {
        /** Null for a read. */
        final Order order;

        final double begin;
        double end = Double.POSITIVE_INFINITY;
        Answer answer;

        Call(Order order, double begin) {
            this.order = order;
            this.begin = begin;
        }

        @Override
        public String toString() {
            String what = order == null ? "read" : order.toString();
            return what + " from " + Math.round(begin) + " to " + end + ": " + answer;
        }
    }

    private final List<Call> calls = new ArrayList<>();

    Call begin(Order order, double at) {
        Call call = new Call(order, at);
        calls.add(call);
        return call;
    }

    void end(Call call, double at, Answer answer) {
        call.end = at;
        call.answer = answer;
    }

    /** The machine that was called has told that it did not run this. */
    void notRun(Call call) {
        calls.remove(calls.lastIndexOf(call));
    }

    List<Call> calls() {
        return calls;
    }
}
