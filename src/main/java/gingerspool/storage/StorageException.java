package gingerspool.storage;

/** The disk failed; the text names the folder or file, and what was said of it. */
public class StorageException extends Exception {
    private static final long serialVersionUID = 1L;

    StorageException(String text) {
        super(text);
    }

    public StorageException(String text, Throwable cause) {
        super(text + ": " + cause.getMessage(), cause);
    }
}
