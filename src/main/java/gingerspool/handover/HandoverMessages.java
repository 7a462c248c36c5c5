package gingerspool.handover;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** What two processes of one scheduler tell each other, each message a JSON object. */
final class HandoverMessages {
    /** A serving process that refuses to tell its state may not know who else serves. */
    private static final String UNKNOWN_ADDRESS = "";

    private HandoverMessages() {}

    private static byte[] bytes(Map<String, ?> tree) {
        return Json.write(tree).getBytes(StandardCharsets.UTF_8);
    }

    private static Object parse(byte[] body) throws BadMessage {
        return Json.read(body, 0, body.length);
    }

    /** Fails where what was read is of another version. */
    private static Object parseVersioned(byte[] body) throws BadMessage {
        Object tree = parse(body);
        if (JsonTree.number(0, tree, "v") != HandoverFile.VERSION) {
            throw new BadMessage(400, "v is not " + HandoverFile.VERSION);
        }
        return tree;
    }

    /**
     * Asks for the state.
     *
     * @param token what calls to the asking process carry
     * @param ask how often it has asked
     * @param startedAt when it started, in milliseconds of Unix time
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

    /** The state of the process that serves. */
    static final class State {
        private State() {}

        static byte[] write(HandoverOwner owner) {
            Map<String, Object> tree = new LinkedHashMap<>();
            tree.put("v", HandoverFile.VERSION);
            tree.put("suspended", owner.suspended());
            tree.put("drained", owner.isDrained());
            tree.putAll(owner.state());
            return HandoverMessages.bytes(tree);
        }

        static Object read(byte[] body) throws BadMessage {
            return parseVersioned(body);
        }
    }

    /** Why no state is told: another process serves, or none that is known. */
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

    /** Asks to take over, having carried out so many commands since the state. */
    record Take(long commandsApplied) {
        private static final long UNSPECIFIED = -1;

        static Take read(byte[] body) throws BadMessage {
            return new Take((long) JsonTree.number(UNSPECIFIED, parse(body), "n"));
        }

        byte[] bytes() {
            return HandoverMessages.bytes(Map.of("n", commandsApplied));
        }
    }

    /** The descriptors that a process holds, and its listener's number. */
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

    /** The process that has taken over listens; whether all new connections go there. */
    record Bound(boolean allClaimed) {
        static Bound read(byte[] body) throws BadMessage {
            return new Bound(JsonTree.mark(parse(body), "all"));
        }

        byte[] bytes() {
            return HandoverMessages.bytes(Map.of("all", allClaimed));
        }
    }

    /**
     * An operator's command.
     *
     * @param command suspend, resume, drain or activate
     * @param worker which worker, empty for the scheduler
     * @param number counts those told since the state was
     * @param ask which of the receiver's requests for the state it follows
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
