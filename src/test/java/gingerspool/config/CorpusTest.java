package gingerspool.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import gingerspool.route.Routes;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Files that must be refused, each with its reason, file and line; and files that must be taken.
 */
public class CorpusTest {
    private Path folder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("gingerspool");
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        Folders.remove(folder);
    }

    @DataProvider
    public Object[][] bad() throws IOException {
        return Corpus.read("bad.txt").stream().map(c -> new Object[] {c}).toArray(Object[][]::new);
    }

    @DataProvider
    public Object[][] good() throws IOException {
        return Corpus.read("good.txt").stream().map(c -> new Object[] {c}).toArray(Object[][]::new);
    }

    private List<String> faults(Path file) {
        return OperatorFile.read(file).faults().stream()
                .map(f -> f.toString().replace(folder + "/", ""))
                .collect(Collectors.toList());
    }

    @Test
    public void theCorpusIsLarge() throws IOException {
        assertTrue(Corpus.read("bad.txt").size() >= 120);
        assertTrue(Corpus.read("good.txt").size() >= 40);
    }

    @Test(dataProvider = "bad")
    public void aBadFileIsRefusedWithItsReasonAndPlace(Corpus.Case c) {
        List<String> faults = faults(c.write(folder));
        assertFalse(c.wanted.isEmpty());
        for (String wanted : c.wanted) {
            String at = wanted.substring(0, wanted.indexOf(": ") + 2);
            String what = wanted.substring(at.length());
            assertTrue(
                    faults.stream().anyMatch(f -> f.startsWith(at) && f.contains(what)),
                    "wanted " + wanted + ", told " + String.join("\n", faults));
        }
    }

    @Test(dataProvider = "good")
    public void aGoodFileIsTaken(Corpus.Case c) {
        OperatorFile file = OperatorFile.read(c.write(folder));
        assertEquals(file.faults(), List.of());
        assertNotNull(new Routes(file.rules(), null));
        assertNotNull(file.deployment().get("settings"));
        assertFalse(Explain.lines(file).isEmpty());
        c.explained.forEach(
                (key, value) -> assertEquals(file.notes().get(key).value(), value, key));
    }

    @Test
    public void whatIsNoTextFileGetsOneLine() throws IOException {
        Path empty = Files.createFile(folder.resolve("empty.toml"));
        Path bytes =
                Files.write(
                        folder.resolve("bytes.toml"), new byte[] {'a', (byte) 0xff, (byte) 0xc0});
        Path zeros = Files.write(folder.resolve("zeros.toml"), new byte[100]);
        Path large = folder.resolve("large.toml");
        try (var out =
                Files.newByteChannel(
                        large,
                        java.nio.file.StandardOpenOption.CREATE_NEW,
                        java.nio.file.StandardOpenOption.WRITE)) {
            out.position(50L << 20);
            out.write(java.nio.ByteBuffer.wrap(new byte[1]));
        }
        Path one = folder.resolve("one.toml");
        Files.createSymbolicLink(one, folder.resolve("two.toml"));
        Files.createSymbolicLink(folder.resolve("two.toml"), one);
        assertEquals(faults(folder.resolve("none.toml")), List.of("none.toml: does not exist"));
        assertEquals(faults(empty), List.of("empty.toml: is empty"));
        assertEquals(faults(bytes), List.of("bytes.toml: is not UTF-8"));
        assertEquals(faults(large), List.of("large.toml: is larger than 4 MiB"));
        assertEquals(faults(folder), List.of(folder + ": is a directory"));
        assertEquals(faults(one), List.of("one.toml: is a circle of symbolic links"));
        assertEquals(faults(zeros).size(), 1);
    }

    /** Whoever may not read it gets a line too; who is allowed everything can't be refused. */
    @Test
    public void anUnreadableFileGetsOneLine() throws IOException {
        Path file =
                Files.writeString(
                        folder.resolve("shut.toml"),
                        Corpus.PROFILES,
                        java.nio.file.StandardOpenOption.CREATE_NEW);
        Files.setPosixFilePermissions(file, java.util.Set.of());
        assertEquals(
                faults(file),
                Files.isReadable(file) ? List.of() : List.of("shut.toml: may not be read"));
    }

    /** A file is cut anywhere, or a byte of it is another: told in lines, never thrown. */
    @Test
    public void aDamagedFileNeverThrows() throws IOException {
        java.util.SplittableRandom chance = new java.util.SplittableRandom(4);
        List<Corpus.Case> all = Corpus.read("good.txt");
        Path file = folder.resolve("main.toml");
        for (int i = 0; i < 400; i++) {
            StringBuilder text = new StringBuilder(all.get(i % all.size()).files.get("main.toml"));
            text.setLength(1 + chance.nextInt(text.length()));
            for (int j = chance.nextInt(3); j > 0; j--) {
                text.setCharAt(chance.nextInt(text.length()), (char) chance.nextInt(1, 128));
            }
            Files.writeString(file, text);
            OperatorFile read = OperatorFile.read(file);
            if (read.faults().isEmpty()) {
                assertNotNull(new Routes(read.rules(), null));
            }
        }
    }
}
