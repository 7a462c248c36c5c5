package gingerspool.controlplane;

import gingerspool.settings.NodeSettings;
import gingerspool.wire.EventLoop;
import gingerspool.wire.JsonTree;
import java.util.function.BooleanSupplier;

/**
 * Starts and stops of instances on the platform, tried again where they may or may not have been
 * carried out. The term is the fencing token; the same nonce is the same start. Runs on the loop.
 */
final class InstanceCalls {
    private static final int MAX_ATTEMPTS = 4;

    /** The pause between two attempts, in milliseconds. */
    private static final double RETRY_DELAY_MS = 50;

    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int SERVER_ERROR = 500;

    /** How a start ended. */
    interface StartListener {
        void started(String instance, String address);

        /** Without room on the host nothing else starts there either. */
        void failed(boolean hasNoRoom);
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
                answer -> {
                    String id = JsonTree.text("", answer.body(), "Identifier");
                    boolean mayHaveStarted =
                            answer.status() == 0 || answer.status() >= SERVER_ERROR;
                    if (isEnded) {
                        return;
                    }
                    if (answer.status() == OK && !id.isEmpty()) {
                        listener.started(id, JsonTree.text("", answer.body(), "Address"));
                    } else if (mayHaveStarted && attempt < MAX_ATTEMPTS) {
                        retry(
                                () -> start(function, host, nonce, listener, attempt + 1),
                                () -> listener.failed(false));
                    } else {
                        failedStarts++;
                        listener.failed(answer.status() == CONFLICT);
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
                answer -> {
                    boolean isGone = answer.status() == OK || answer.status() == NOT_FOUND;
                    if (!isGone && attempt < MAX_ATTEMPTS && !isEnded) {
                        retry(() -> stop(instance, attempt + 1), () -> {});
                    }
                });
    }

    /** Calls again after a pause, if the lease holds then. */
    private void retry(Runnable call, Runnable orElse) {
        loop.schedule(RETRY_DELAY_MS, () -> (mayAct.getAsBoolean() ? call : orElse).run());
    }

    /** In the form of the log's fields. */
    String counters() {
        return "starts=%d stops=%d refused=%d".formatted(starts, stops, failedStarts);
    }
}
