package gingerspool.wire;

/** A peer said something that can't be read; the status is what a client is answered. */
public final class BadMessage extends Exception {
    private static final long serialVersionUID = 1L;

    public final int status;

    /** What the answer's head says besides, or null. */
    public final String field;

    public BadMessage(int status, String text) {
        this(status, text, null);
    }

    public BadMessage(int status, String text, String field) {
        super(text, null, false, false);
        this.status = status;
        this.field = field;
    }
}
