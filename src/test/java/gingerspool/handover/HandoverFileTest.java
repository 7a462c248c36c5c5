package gingerspool.handover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import gingerspool.peers.Folders;
import gingerspool.wire.BadMessage;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import org.testng.annotations.Test;

/** The hand-over file: writing, reading back, and contents that can't be used. */
public class HandoverFileTest {
    private static final HandoverFile FILE =
            new HandoverFile(
                    "127.0.0.1:9", "0badcafe", List.of("s-1", "odd \"name\"\n\u00e9"), true);

    @Test
    public void writtenFileIsReadBackAndPrivateToOwner() throws Exception {
        Path folder = Files.createTempDirectory("handover-file");
        Path file = HandoverFile.path(folder, "n/1");
        FILE.write(file);
        FILE.write(file);
        assertEquals(HandoverFile.read(file), FILE);
        assertEquals(
                PosixFilePermissions.toString(Files.getPosixFilePermissions(file)), "rw-------");
        try (var all = Files.list(folder)) {
            assertEquals(all.count(), 1, "no temporary file is left");
        }
        Folders.remove(folder);
    }

    /**
     * A missing or truncated file, one of another version or with other content, and a folder are
     * read as no file, without an exception.
     */
    @Test
    public void unusableFilesAreIgnored() throws Exception {
        Path folder = Files.createTempDirectory("handover-file");
        Path file = HandoverFile.path(folder, "n1");
        assertNull(HandoverFile.read(file));
        byte[] whole = FILE.toJson().getBytes(java.nio.charset.StandardCharsets.UTF_8);
        for (int i = 0; i < whole.length - 1; i++) {
            Files.write(file, java.util.Arrays.copyOf(whole, i));
            assertNull(HandoverFile.read(file), "cut after " + i);
        }
        for (String text :
                List.of(
                        "[]",
                        "{\"v\":2,\"suspended\":[]}",
                        "{\"v\":1}",
                        "{\"v\":1,\"suspended\":[7]}",
                        "{\"v\":1,\"suspended\":{}}")) {
            Files.writeString(file, text);
            assertNull(HandoverFile.read(file), text);
        }
        Files.delete(file);
        Files.createDirectory(file);
        assertNull(HandoverFile.read(file), "a folder");
        Folders.remove(folder);
    }

    @Test(expectedExceptions = BadMessage.class)
    public void unknownVersionIsRejected() throws BadMessage {
        HandoverFile.read("{\"v\":3}");
    }
}
