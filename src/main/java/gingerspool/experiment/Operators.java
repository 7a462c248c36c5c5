package gingerspool.experiment;

import gingerspool.load.OperatorCall;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

/**
 * Who operates the schedulers: knows where the process of each is called that has said that it
 * serves, and has each call and its end written down.
 *
 * <p>Thread: any; a call blocks for as long as its answer takes, 1.5 s at most.
 */
final class Operators {
    /** How long a yes is asked for, in milliseconds. */
    private static final long ASKS_FOR = 5000;

    private static final long ASKS_EVERY = 20;

    /** A worker may be unknown so long after the process has said that it serves. */
    private static final double LIST_WITHIN = 2000;

    private static final int YES = 200;
    private static final int UNKNOWN = 404;

    /** A process that operators call. */
    private record Serving(InetSocketAddress at, Process process, double since) {}

    private final DoubleSupplier now;
    private final Predicate<Process> isEnding;
    private final Consumer<OperatorCall> written;
    private final List<Serving> serving = new ArrayList<>();

    /**
     * Processes for which `isEnding` holds have been told to end, or were killed; `now` is the
     * clock of the record.
     */
    Operators(DoubleSupplier now, Predicate<Process> isEnding, Consumer<OperatorCall> written) {
        this.now = now;
        this.isEnding = isEnding;
        this.written = written;
    }

    /** The process of this scheduler that is called from now on. */
    synchronized void serves(int scheduler, InetSocketAddress at, Process process) {
        while (serving.size() <= scheduler) {
            serving.add(null);
        }
        serving.set(scheduler, new Serving(at, process, now.getAsDouble()));
    }

    private synchronized Serving of(int scheduler) {
        return serving.get(scheduler);
    }

    /** Where the process of this scheduler is called. */
    InetSocketAddress address(int scheduler) {
        return of(scheduler).at;
    }

    /** The process of this scheduler that has said last that it serves. */
    Process process(int scheduler) {
        return of(scheduler).process;
    }

    /**
     * Whether a call is answered with yes by the process that takes them, in the end: the one that
     * was asked may be replaced meanwhile, and is then asked where it went.
     */
    boolean call(int scheduler, String path) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ASKS_FOR);
        while (callOnce(scheduler, path) != YES) {
            if (System.nanoTime() > until) {
                return false;
            }
            Thread.sleep(ASKS_EVERY);
        }
        return true;
    }

    private int callOnce(int scheduler, String path) {
        Serving asked = of(scheduler);
        boolean endsBefore = isEnding.test(asked.process);
        double sent = now.getAsDouble();
        int answer = HttpCalls.status(asked.at, "POST", path);
        double ended = now.getAsDouble();
        boolean stays = !endsBefore && !isEnding.test(asked.process) && of(scheduler).equals(asked);
        boolean mayBeUnknown = answer == UNKNOWN && sent < asked.since + LIST_WITHIN;
        written.accept(
                new OperatorCall(scheduler, path, sent, ended, answer, stays && !mayBeUnknown));
        return answer;
    }
}
