package gingerspool.radiosonde;

/** A peer said something that none of our processes says. */
public final class BadWord extends Exception {
    private static final long serialVersionUID = 1L;

    public BadWord(String text) {
        super(text, null, false, false);
    }
}
