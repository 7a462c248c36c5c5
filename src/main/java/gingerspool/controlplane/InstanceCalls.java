package gingerspool.controlplane;

import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import gingerspool.wire.JsonTree;
import java.util.function.BooleanSupplier;

/**
 * Starts and stops instances on the platform. A start is retried if it may or may not have been
 * executed: the nonce makes it idempotent. A stop is retried until the platform confirms it or the
 * attempts are used up. The term is the fencing token. Used by {@link LeaderDuties} on the event
 * loop.
 */
final class InstanceCalls {
    private static final int MAX_ATTEMPTS = 4;

    /** Delay before the next attempt. */
    private static final double RETRY_DELAY_MS = 50;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int SERVER_ERROR = 500;

    /** Receives the outcome of a start; called at most once. */
    interface StartListener {
        void started(String instance, String address);

        /** If the host is full, no other instance can start there either. */
        void failed(boolean isHostFull);
    }

    private final EventLoop loop;
    private final NodeSettings settings;
    private final Platform platform;
    private final long term;
    private final BooleanSupplier mayAct;
    private boolean isEnded;
    private long starts;
    private long stops;
    private long failedStarts;

    InstanceCalls(
            EventLoop loop,
            NodeSettings settings,
            Platform platform,
            long term,
            BooleanSupplier mayAct) {
        this.loop = loop;
        this.settings = settings;
        this.platform = platform;
        this.term = term;
        this.mayAct = mayAct;
    }

    void end() {
        isEnded = true;
    }

    void start(String function, String host, String nonce, StartListener listener) {
        starts++;
        start(function, host, nonce, listener, 1);
    }

    private void start(
            String function, String host, String nonce, StartListener listener, int attempt) {
        platform.start(
                settings.name,
                term,
                function,
                host,
                nonce,
                response -> {
                    String id = JsonTree.text("", response.body(), "Identifier");
                    boolean mayHaveStarted =
                            response.status() == 0 || response.status() >= SERVER_ERROR;
                    if (isEnded) {
                        return;
                    }
                    if (response.status() == OK && !id.isEmpty()) {
                        listener.started(id, JsonTree.text("", response.body(), "Address"));
                    } else if (mayHaveStarted && attempt < MAX_ATTEMPTS) {
                        retry(
                                () -> start(function, host, nonce, listener, attempt + 1),
                                () -> listener.failed(false));
                    } else {
                        failedStarts++;
                        listener.failed(response.status() == CONFLICT);
                    }
                });
    }

    void stop(String instance) {
        stops++;
        stop(instance, 1);
    }

    private void stop(String instance, int attempt) {
        platform.stop(
                settings.name,
                term,
                instance,
                response -> {
                    boolean isStopped = response.status() == OK || response.status() == NOT_FOUND;
                    if (!isStopped && attempt < MAX_ATTEMPTS && !isEnded) {
                        retry(() -> stop(instance, attempt + 1), () -> {});
                    }
                });
    }

    /** Repeats a call after a delay, or runs the alternative if the lease does not hold then. */
    private void retry(Runnable call, Runnable ifLeaseLost) {
        loop.schedule(RETRY_DELAY_MS, () -> (mayAct.getAsBoolean() ? call : ifLeaseLost).run());
    }

    /** The counters as fields of a log line. */
    String counters() {
        return "starts=%d stops=%d refused=%d".formatted(starts, stops, failedStarts);
    }
}
