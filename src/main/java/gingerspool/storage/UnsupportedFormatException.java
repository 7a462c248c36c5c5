package gingerspool.storage;

import java.nio.file.Path;

/**
 * The log was written by a newer version of this program, in a format that this version cannot
 * read. The file stays unchanged: starting without it would lose votes and acknowledged changes.
 */
public final class UnsupportedFormatException extends StorageException {
    private static final long serialVersionUID = 1L;

    UnsupportedFormatException(Path file, int format, int newestKnown) {
        super(
                file
                        + " has format "
                        + format
                        + ", this version supports formats up to "
                        + newestKnown
                        + "; start a newer version, or empty the folder to join as a new member");
    }
}
