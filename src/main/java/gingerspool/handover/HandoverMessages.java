package gingerspool.handover;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The messages that two processes of one scheduler exchange during a hand-over, each a JSON object.
 */
final class HandoverMessages {
    /** Stands in a refusal for an unknown address: the process may not know which one serves. */
    private static final String UNKNOWN_ADDRESS = "";

    private HandoverMessages() {}

    private static byte[] bytes(Map<String, ?> tree) {
        return Json.write(tree).getBytes(StandardCharsets.UTF_8);
    }

    private static Object parse(byte[] body) throws BadMessage {
        return Json.read(body, 0, body.length);
    }

    /** Fails if the message is of another version of the format. */
    private static Object parseVersioned(byte[] body) throws BadMessage {
        Object tree = parse(body);
        if (JsonTree.number(0, tree, "v") != HandoverFile.VERSION) {
            throw new BadMessage(400, "v is not " + HandoverFile.VERSION);
        }
        return tree;
    }

    /**
     * Requests the state; body of a `join` call.
     *
     * @param token the token that calls to the requesting process must carry
     * @param requestNumber counts the state requests of that process
     * @param startedAt when that process started, in milliseconds of Unix time
     */
    record Join(String token, long requestNumber, double startedAt) {
        static Join read(byte[] body, double defaultStartedAt) throws BadMessage {
            Object tree = parseVersioned(body);
            return new Join(
                    JsonTree.text("", tree, "token"),
                    (long) JsonTree.number(0, tree, "ask"),
                    JsonTree.number(defaultStartedAt, tree, "started"));
        }

        byte[] bytes() {
            Map<String, Object> tree = new LinkedHashMap<>();
            tree.put("v", HandoverFile.VERSION);
            tree.put("token", token);
            tree.put("ask", requestNumber);
            tree.put("started", startedAt);
            return HandoverMessages.bytes(tree);
        }
    }

    /** The state of the serving process; the answer to a `join` call. */
    static final class State {
        private State() {}

        static byte[] write(HandoverOwner owner) {
            Map<String, Object> tree = new LinkedHashMap<>();
            tree.put("v", HandoverFile.VERSION);
            tree.put("suspended", owner.suspendedWorkers());
            tree.put("drained", owner.isDrained());
            tree.putAll(owner.state());
            return HandoverMessages.bytes(tree);
        }

        static Object read(byte[] body) throws BadMessage {
            return parseVersioned(body);
        }
    }

    /** Names the process that serves instead, if it is known; refuses a `join` call. */
    record ServingProcess(String address, String token) {
        static final ServingProcess UNKNOWN = new ServingProcess(UNKNOWN_ADDRESS, "");

        static ServingProcess read(byte[] body) {
            try {
                Object tree = parse(body);
                return new ServingProcess(
                        JsonTree.text(UNKNOWN_ADDRESS, tree, "at"),
                        JsonTree.text("", tree, "token"));
            } catch (BadMessage e) {
                return UNKNOWN;
            }
        }

        boolean isKnown() {
            return !address.equals(UNKNOWN_ADDRESS);
        }

        byte[] bytes() {
            return HandoverMessages.bytes(
                    isKnown() ? Map.of("at", address, "token", token) : Map.of());
        }
    }

    /**
     * Asks the serving process to retire; body of a `take` call.
     *
     * @param commandsApplied how many commands the caller has applied since it received the state
     */
    record Take(long commandsApplied) {
        private static final long UNSPECIFIED = -1;

        static Take read(byte[] body) throws BadMessage {
            return new Take((long) JsonTree.number(UNSPECIFIED, parse(body), "n"));
        }

        byte[] bytes() {
            return HandoverMessages.bytes(Map.of("n", commandsApplied));
        }
    }

    /** The number of descriptors that a process holds, and the number of its listener. */
    record Holdings(int descriptors, int listener) {
        static Holdings read(byte[] body, Holdings fallback) {
            try {
                Object tree = parse(body);
                return new Holdings(
                        (int) JsonTree.number(fallback.descriptors, tree, "descriptors"),
                        (int) JsonTree.number(fallback.listener, tree, "listener"));
            } catch (BadMessage e) {
                return fallback;
            }
        }

        byte[] bytes() {
            Map<String, Object> tree = new LinkedHashMap<>();
            tree.put("descriptors", descriptors);
            tree.put("listener", listener);
            return HandoverMessages.bytes(tree);
        }
    }

    /**
     * The successor listens; body of a `bound` call.
     *
     * @param allClaimed whether all new connections go to the successor
     */
    record Bound(boolean allClaimed) {
        static Bound read(byte[] body) throws BadMessage {
            return new Bound(JsonTree.mark(parse(body), "all"));
        }

        byte[] bytes() {
            return HandoverMessages.bytes(Map.of("all", allClaimed));
        }
    }

    /**
     * An operator's command; body of a `word` call.
     *
     * @param command suspend, resume, drain or activate
     * @param worker the worker that it is about, empty for the scheduler
     * @param number counts the commands sent to the receiver since it was sent the state
     * @param ask the number of the receiver's state request that the command follows
     */
    record Command(String command, String worker, long number, long ask) {
        private static final long UNSPECIFIED = 0;

        static Command read(byte[] body) throws BadMessage {
            Object tree = parse(body);
            return new Command(
                    JsonTree.text("", tree, "do"),
                    JsonTree.text("", tree, "worker"),
                    (long) JsonTree.number(UNSPECIFIED, tree, "n"),
                    (long) JsonTree.number(UNSPECIFIED, tree, "ask"));
        }

        byte[] bytes() {
            Map<String, Object> tree = new LinkedHashMap<>();
            tree.put("do", command);
            tree.put("worker", worker);
            tree.put("n", number);
            tree.put("ask", ask);
            return HandoverMessages.bytes(tree);
        }
    }
}
