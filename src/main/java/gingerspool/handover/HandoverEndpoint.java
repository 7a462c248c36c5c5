package gingerspool.handover;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Server side of the hand-over calls: accepts the requests to the management address that other
 * processes send with this process's token, and passes them to its handler, {@link Handover}.
 *
 * <p>Thread: the event loop.
 */
final class HandoverEndpoint {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverEndpoint.class);
    private static final String PATH_PREFIX = "/v1/link/";
    private static final int TOKEN_BYTES = 16;

    /** Answers the calls. */
    interface Handler {
        /**
         * @param caller the management address of the calling process
         * @param name the call, such as `join`
         */
        void handle(Inbound call, String caller, String name, byte[] body) throws BadMessage;
    }

    private final String token;
    private final Handler handler;

    HandoverEndpoint(String token, Handler handler) {
        this.token = token;
        this.handler = handler;
    }

    /** A token that can't be guessed. */
    static String generateToken() {
        byte[] secret = new byte[TOKEN_BYTES];
        new SecureRandom().nextBytes(secret);
        return HexFormat.of().formatHex(secret);
    }

    /** Handles the request if it is a hand-over call; returns whether it was. */
    boolean tryHandle(Inbound call, Message request) {
        if (!request.target().startsWith(PATH_PREFIX)) {
            return false;
        }
        if (!isOwnToken(request.field("x-token"))) {
            LOG.atWarn().addKeyValue("path", request.target()).log("handover.unknown_caller");
            call.endAfterAnswer(true);
            call.answer(CallStatus.NOT_FOUND, List.of(), "no such path\n");
            return true;
        }
        String caller = request.field("x-from") == null ? "" : request.field("x-from");
        String name = request.target().substring(PATH_PREFIX.length());
        try {
            handler.handle(call, caller, name, request.body());
        } catch (BadMessage e) {
            call.answer(CallStatus.BAD_REQUEST, List.of(), e.getMessage() + "\n");
        }
        return true;
    }

    private boolean isOwnToken(String candidate) {
        return candidate != null
                && MessageDigest.isEqual(
                        candidate.getBytes(StandardCharsets.ISO_8859_1),
                        token.getBytes(StandardCharsets.ISO_8859_1));
    }
}
