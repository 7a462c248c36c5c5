package gingerspool.codec;

/** Bytes from a peer or from disk are not a valid message. Has no stack trace. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
