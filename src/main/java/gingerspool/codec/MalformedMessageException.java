package gingerspool.codec;

/** A peer said something that none of our processes says. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    public MalformedMessageException(String message) {
        super(message, null, false, false);
    }
}
