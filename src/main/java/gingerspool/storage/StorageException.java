package gingerspool.storage;

/** The disk failed; the text names the folder or file, and what was said of it. */
public class StorageException extends Exception {
    private static final long serialVersionUID = 1L;

    StorageException(String message) {
        super(message);
    }

    public StorageException(String message, Throwable cause) {
        super(message + ": " + cause.getMessage(), cause);
    }
}
