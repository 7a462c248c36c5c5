package gingerspool.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * The folder of the log's files, named `ledger-N.mv`: lists, deletes and syncs them. Used by {@link
 * DurableLog}; tests override the methods that sync and delete.
 */
class LogFolder {
    private static final String PREFIX = "ledger-";
    private static final String SUFFIX = ".mv";
    private static final String NUMBER_PATTERN = "[0-9]{1,15}";

    private final Path path;

    LogFolder(Path path) {
        this.path = path;
    }

    void create() throws IOException {
        Files.createDirectories(path);
    }

    Path file(long number) {
        return path.resolve(PREFIX + number + SUFFIX);
    }

    /** The log files by number; other files in the folder are ignored. */
    TreeMap<Long, Path> files() throws IOException {
        TreeMap<Long, Path> files = new TreeMap<>();
        try (Stream<Path> listing = Files.list(path)) {
            for (Path file : listing.toList()) {
                String name = file.getFileName().toString();
                if (name.startsWith(PREFIX) && name.endsWith(SUFFIX)) {
                    String number =
                            name.substring(PREFIX.length(), name.length() - SUFFIX.length());
                    if (number.matches(NUMBER_PATTERN)) {
                        files.put(Long.parseLong(number), file);
                    }
                }
            }
        }
        return files;
    }

    void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }

    /** Makes a file's content durable, also if another process wrote it. */
    void syncFile(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }

    /** Makes the creation and deletion of files in this folder durable. */
    void sync() throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public String toString() {
        return path.toString();
    }
}
