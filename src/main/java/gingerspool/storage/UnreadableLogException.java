package gingerspool.storage;

/** A file of the log holds no whole content. */
final class UnreadableLogException extends Exception {
    private static final long serialVersionUID = 1L;

    UnreadableLogException(String message) {
        super(message);
    }
}
