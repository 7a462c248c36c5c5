package gingerspool.storage;

/** The disk failed; the text names the folder, the cause what was said of it. */
public final class StorageException extends Exception {
    private static final long serialVersionUID = 1L;

    public StorageException(String text, Throwable cause) {
        super(text + ": " + cause.getMessage(), cause);
    }
}
