package gingerspool.controlplane;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.Messages;
import gingerspool.configuration.ConfigurationState;
import gingerspool.consensus.Member;
import gingerspool.consensus.Replica;
import gingerspool.wire.Address;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Json;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Executes the operators' calls. The leader answers reads from its state, and changes once the log
 * has committed them; other members redirect to the leader, or answer 503 if they know none. Runs
 * on the event loop of its {@link ControlNode}.
 */
final class OperatorCalls {
    /**
     * Latest answer to a change, in milliseconds; callers give up after one second without an
     * answer.
     */
    private static final double ANSWER_TIMEOUT_MS = 800;

    /** Seconds after which a caller may retry a call that was not executed. */
    private static final int RETRY_AFTER_S = 1;

    private final EventLoop loop;
    private final int controlPort;
    private final KryoCodec codec;
    private final ConfigurationState state;
    private final Supplier<Replica> replica;
    private final Supplier<String> status;

    /** Changes proposed by this member and not answered yet, by command id. */
    private final Map<Long, OperatorCall.Change> pending = new HashMap<>();

    private long lastCommandNumber;
    private int reads;
    private int changes;
    private int rejectedChanges;

    /** The replica is null until the log has been read. */
    OperatorCalls(
            EventLoop loop,
            int controlPort,
            KryoCodec codec,
            ConfigurationState state,
            Supplier<Replica> replica,
            Supplier<String> status) {
        this.loop = loop;
        this.controlPort = controlPort;
        this.codec = codec;
        this.state = state;
        this.replica = replica;
        this.status = status;
    }

    String counters() {
        return "reads=%d changes=%d refused=%d".formatted(reads, changes, rejectedChanges);
    }

    /** Whether a change still waits for its commit. */
    boolean hasPendingCalls() {
        return !pending.isEmpty();
    }

    /**
     * Executes a call. The caller must then let the replica's changes take effect, as {@link
     * ClusterMember#afterReplicaUpdate} does.
     */
    void run(OperatorCall call) {
        if (call instanceof OperatorCall.Invalid invalid) {
            answerError(call, invalid.status(), invalid.message());
        } else if (replica.get() == null) {
            answerNotExecuted(call, "the log has not been read yet");
        } else if (call instanceof OperatorCall.Status) {
            byte[] text = status.get().getBytes(StandardCharsets.UTF_8);
            call.reply().answer(200, List.of("Content-Type: text/plain"), text);
        } else if (!replica.get().isActiveLeader(loop.now())) {
            redirect(call);
        } else if (call instanceof OperatorCall.Read) {
            read(call);
        } else if (call instanceof OperatorCall.Change change) {
            propose(change);
        }
    }

    private void redirect(OperatorCall call) {
        Member leader = replica.get().leader(loop.now());
        if (leader == null || leader.equals(replica.get().self())) {
            answerNotExecuted(call, "no leader is known");
        } else {
            String leaderAddress = Address.text(new InetSocketAddress(leader.ip(), controlPort));
            List<String> fields = List.of("Location: http://" + leaderAddress + call.target());
            call.reply().answer(307, fields, new byte[0]);
        }
    }

    private void read(OperatorCall call) {
        reads++;
        if (state.version() == 0) {
            answerError(call, 404, "there is no configuration yet");
        } else {
            answer(call, 200, state.toJson());
        }
    }

    private void propose(OperatorCall.Change call) {
        changes++;
        long id = replica.get().term() << 32 | ++lastCommandNumber;
        pending.put(id, call);
        loop.schedule(
                ANSWER_TIMEOUT_MS,
                () -> {
                    if (pending.remove(id) != null) {
                        answerError(
                                call,
                                503,
                                "not committed in time; the change may still take effect");
                    }
                });
        byte[] command =
                codec.write(
                        new Messages.ChangeCommand(
                                id, call.isComplete(), call.baseVersion(), call.body()));
        if (!replica.get().propose(loop.now(), command)) {
            pending.remove(id);
            answerNotExecuted(call, "the leader lease has expired");
        }
    }

    /** Called when a command was committed and applied, whichever member proposed it. */
    void applied(long id, ConfigurationState.ChangeResult result) {
        boolean isAccepted = result.status() == ConfigurationState.ACCEPTED;
        rejectedChanges += isAccepted ? 0 : 1;
        OperatorCall.Change call = pending.remove(id);
        if (call != null && isAccepted) {
            String body = "{\"Version\":" + result.version() + "}";
            answer(call, result.status(), body.getBytes(StandardCharsets.UTF_8));
        } else if (call != null) {
            answerError(call, result.status(), result.message());
        }
    }

    /**
     * Answers that the call had no effect and will have none, so that it may be retried, also on
     * another member.
     */
    private static void answerNotExecuted(OperatorCall call, String reason) {
        call.reply()
                .answer(
                        503,
                        List.of("Content-Type: application/json", "Retry-After: " + RETRY_AFTER_S),
                        errorBody(reason));
    }

    private static byte[] errorBody(String reason) {
        return Json.write(Map.of("Error", reason)).getBytes(StandardCharsets.UTF_8);
    }

    private static void answerError(OperatorCall call, int status, String reason) {
        answer(call, status, errorBody(reason));
    }

    private static void answer(OperatorCall call, int status, byte[] body) {
        call.reply().answer(status, List.of("Content-Type: application/json"), body);
    }
}
