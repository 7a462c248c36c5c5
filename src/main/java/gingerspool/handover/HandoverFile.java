package gingerspool.handover;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Content of the hand-over file, by which the next process finds the serving one. The suspensions
 * in it hold even if that process can no longer be called.
 *
 * @param address the management address of the serving process
 * @param token the token that calls to it must carry
 * @param suspendedWorkers the workers that operators have suspended
 * @param drained whether operators have drained the scheduler
 */
record HandoverFile(String address, String token, List<String> suspendedWorkers, boolean drained) {
    private static final Logger LOG = LoggerFactory.getLogger(HandoverFile.class);

    /** The version of the format, of this file as well as of the messages. */
    static final int VERSION = 1;

    private static final long MAX_BYTES = 1024 * 1024;

    static Path path(Path folder, String schedulerName) {
        return folder.resolve(
                "gingerspool-" + schedulerName.replaceAll("[^A-Za-z0-9_.-]", "_") + ".json");
    }

    /** Reads the file; null if there is none, or if it is unusable, which is logged. */
    static HandoverFile read(Path file) {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new BadMessage(400, "longer than " + MAX_BYTES + " bytes");
            }
            return read(Files.readString(file, StandardCharsets.UTF_8));
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException | BadMessage e) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .addKeyValue("why", e.getMessage())
                    .log("handover.file_unusable");
            return null;
        }
    }

    /** The same suspensions, held by a process with another address and token. */
    HandoverFile withAddress(String newAddress, String newToken) {
        return new HandoverFile(newAddress, newToken, suspendedWorkers, drained);
    }

    static HandoverFile read(String text) throws BadMessage {
        Object tree = Json.read(text);
        if (JsonTree.number(0, tree, "v") != VERSION) {
            throw new BadMessage(400, "v is not " + VERSION);
        }
        return new HandoverFile(
                JsonTree.text("", tree, "at"),
                JsonTree.text("", tree, "token"),
                readSuspendedWorkers(tree),
                JsonTree.mark(tree, "drained"));
    }

    /** Reads the worker names under `suspended` from a parsed file or state. */
    static List<String> readSuspendedWorkers(Object tree) throws BadMessage {
        List<String> names = new ArrayList<>();
        if (JsonTree.at(tree, "suspended") instanceof List<?> list) {
            for (Object entry : list) {
                if (!(entry instanceof String name)) {
                    throw new BadMessage(400, "suspended has an entry that is not a string");
                }
                names.add(name);
            }
        } else {
            throw new BadMessage(400, "suspended is not a list");
        }
        return names;
    }

    String toJson() {
        Map<String, Object> tree = new LinkedHashMap<>();
        tree.put("v", VERSION);
        tree.put("at", address);
        tree.put("token", token);
        tree.put("suspended", suspendedWorkers);
        tree.put("drained", drained);
        return Json.write(tree) + "\n";
    }

    /**
     * Writes a temporary file and renames it, so that no reader sees it half written. Only the
     * owner may read it: whoever has the token can make hand-over calls.
     */
    void write(Path file) throws IOException {
        Path temporary =
                file.resolveSibling(file.getFileName() + "." + ProcessHandle.current().pid());
        Files.deleteIfExists(temporary);
        Files.createFile(
                temporary,
                PosixFilePermissions.asFileAttribute(
                        Set.copyOf(PosixFilePermissions.fromString("rw-------"))));
        Files.writeString(temporary, toJson(), StandardCharsets.UTF_8);
        Files.move(
                temporary,
                file,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }
}
