package gingerspool.wire;

/** A peer said something that can't be read; the status is what a client is answered. */
public final class BadMessage extends Exception {
    private static final long serialVersionUID = 1L;

    public final int status;

    public BadMessage(int status, String text) {
        super(text, null, false, false);
        this.status = status;
    }
}
