package gingerspool.storage;

/** Reading or writing the log failed; the message names the folder or file and the cause. */
public class StorageException extends Exception {
    private static final long serialVersionUID = 1L;

    StorageException(String message) {
        super(message);
    }

    public StorageException(String message, Throwable cause) {
        super(message + ": " + cause.getMessage(), cause);
    }
}
