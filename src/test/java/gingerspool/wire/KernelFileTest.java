package gingerspool.wire;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A kernel file is read again each time; a missing file is tried only once. */
public class KernelFileTest {
    private static final int MAX_BYTES = 1024;

    private Path path;

    @BeforeMethod
    public void makeFile() throws IOException {
        path = Files.createTempFile(Path.of("target"), "kernel-file", ".txt");
    }

    @AfterMethod(alwaysRun = true)
    public void removeFile() throws IOException {
        Files.deleteIfExists(path);
    }

    @Test
    public void readReturnsCurrentContent() throws IOException {
        try (KernelFile file = new KernelFile(path.toString())) {
            Files.writeString(path, "1 2 3\n");
            assertEquals(file.read(), "1 2 3\n");
            Files.writeString(path, "4\n");
            assertEquals(file.read(), "4\n");
            Files.writeString(path, "");
            assertEquals(file.read(), "");
        }
    }

    @Test
    public void longFileIsTruncated() throws IOException {
        Files.writeString(path, "x".repeat(MAX_BYTES + 1));
        try (KernelFile file = new KernelFile(path.toString())) {
            assertEquals(file.read(), "x".repeat(MAX_BYTES));
        }
    }

    @Test
    public void missingFileIsNotRetried() throws IOException {
        Files.delete(path);
        try (KernelFile file = new KernelFile(path.toString())) {
            assertEquals(file.read(), "");
            Files.writeString(path, "1\n");
            assertEquals(file.read(), "");
        }
    }

    @Test
    public void unreadablePathReturnsEmptyText() {
        try (KernelFile directory = new KernelFile("target")) {
            assertEquals(directory.read(), "");
        }
    }

    @Test
    public void closedFileIsNeitherReadNorOpened() throws IOException {
        Files.writeString(path, "1\n");
        KernelFile read = new KernelFile(path.toString());
        assertEquals(read.read(), "1\n");
        KernelFile unread = new KernelFile(path.toString());
        read.close();
        unread.close();
        assertEquals(read.read(), "");
        assertEquals(unread.read(), "");
    }
}
