package gingerspool.barograph;

/** The disk failed; the text names the folder, the cause what was said of it. */
public final class LedgerException extends Exception {
    private static final long serialVersionUID = 1L;

    public LedgerException(String text, Throwable cause) {
        super(text + ": " + cause.getMessage(), cause);
    }
}
