package gingerspool.storage;

/** The content of a log file is incomplete or invalid. */
final class UnreadableLogException extends Exception {
    private static final long serialVersionUID = 1L;

    UnreadableLogException(String message) {
        super(message);
    }
}
