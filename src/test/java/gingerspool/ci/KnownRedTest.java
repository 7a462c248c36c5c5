package gingerspool.ci;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** `.ci/run` in a folder of its own, before an `mvn` that notes its arguments and fails as told. */
public class KnownRedTest {
    private static final String RED = "gingerspool.a.SlowTest#fails | a race in X | 43\n";
    private static final String ENTRIES = "gingerspool.a.SlowTest#fails%d | a race | 43\n";
    private static final int MOST = 6;
    private static final String USUAL = "-B verify";
    private static final String LEFT_OUT =
            "-B verify -Dtest=Test*,*Test,*Tests,*TestCase,!gingerspool.a.SlowTest#fails";

    private Path root;
    private String printed;
    private int ran;

    @BeforeMethod
    public void makeFolder() throws IOException {
        ran = 1;
        root = Files.createTempDirectory("known-red");
        Files.createDirectories(root.resolve("target"));
        Path source = root.resolve("src/test/java/gingerspool/a/SlowTest.java");
        Files.createDirectories(source.getParent());
        Files.writeString(
                source,
                "public class SlowTest {\n    @Test\n    public void fails() {}\n\n"
                        + "    @Test\n    void other() {}\n"
                        + methods("    void fails%d() {}\n")
                        + "}\n");
        Files.createDirectories(root.resolve(".ci"));
        Files.copy(Path.of(".ci", "run"), root.resolve(".ci/run"));
        Files.createDirectories(root.resolve("bin"));
        Path mvn = root.resolve("bin/mvn");
        Files.writeString(
                mvn,
                "#!/bin/sh\necho \"$*\" >> calls\necho Tests run: $RAN, Failures: 0\n"
                        + "case \"$*\" in *verify*) exit \"$VERIFY\";; *) exit \"$ALONE\";; esac\n");
        assertTrue(mvn.toFile().setExecutable(true));
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        try (Stream<Path> all = Files.walk(root)) {
            for (Path p : all.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(p);
            }
        }
    }

    /** This text for each number up to one more than the list may hold. */
    private static String methods(String form) {
        return IntStream.rangeClosed(1, MOST + 1)
                .mapToObj(i -> String.format(form, i))
                .collect(Collectors.joining());
    }

    private int run(String list, int verify, int alone) throws Exception {
        if (list != null) {
            Files.writeString(root.resolve("KNOWN-RED.txt"), list);
        }
        ProcessBuilder b = new ProcessBuilder("bash", ".ci/run").directory(root.toFile());
        b.environment().put("PATH", root.resolve("bin") + ":" + System.getenv("PATH"));
        b.environment().put("VERIFY", "" + verify);
        b.environment().put("ALONE", "" + alone);
        b.environment().put("RAN", "" + ran);
        Process p = b.redirectErrorStream(true).start();
        printed = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return p.waitFor();
    }

    private List<String> calls() throws IOException {
        Path calls = root.resolve("calls");
        return Files.exists(calls) ? Files.readAllLines(calls) : List.of();
    }

    @DataProvider
    public Object[][] nothingListed() {
        return new Object[][] {{null}, {""}, {"\n  \n"}};
    }

    @Test(dataProvider = "nothingListed")
    public void withNothingListedItRunsAsItStands(String list) throws Exception {
        assertEquals(run(list, 0, 0), 0);
        assertEquals(calls(), List.of(USUAL));
        assertEquals(run(list, 1, 0), 1);
    }

    @Test
    public void aListedTestIsLeftOutAndPrinted() throws Exception {
        assertEquals(run(RED, 0, 1), 0);
        assertEquals(
                calls(), List.of(LEFT_OUT, "-B surefire:test -Dtest=gingerspool.a.SlowTest#fails"));
        assertTrue(printed.contains("known red: " + RED), printed);
    }

    /** Guards what was learned of a fault: notes are printed, and leave no other test out. */
    @Test
    public void commandAndNotesOfAnEntryArePrinted() throws Exception {
        String entry = "gingerspool.a.SlowTest#fails | `mvn test`, seed 1 | a race in X | 43\n";
        assertEquals(run(entry + "  seen again at a load of 20\n", 0, 1), 0);
        assertEquals(
                calls(), List.of(LEFT_OUT, "-B surefire:test -Dtest=gingerspool.a.SlowTest#fails"));
        assertTrue(printed.contains("known red: " + entry), printed);
        assertTrue(printed.contains("  seen again at a load of 20\n"), printed);
    }

    /** Guards real faults: none is left out for want of an entry, up to six. */
    @Test
    public void sixTestsMayBeListed() throws Exception {
        String all = methods(ENTRIES);
        assertEquals(run(all.substring(0, all.lastIndexOf("gingerspool.a")), 0, 1), 0);
        assertEquals(calls().size(), 1 + MOST);
    }

    @Test
    public void aListedTestThatPassesIsReported() throws Exception {
        assertEquals(run(RED, 0, 0), 0);
        assertTrue(
                printed.contains(
                        "passed this time, leaves KNOWN-RED.txt after many passes in a row: "
                                + RED),
                printed);
    }

    @Test
    public void aListedTestThatDidNotRunHasNotPassed() throws Exception {
        ran = 0;
        assertEquals(run(RED, 0, 0), 0);
        assertTrue(printed.contains("known red: " + RED), printed);
    }

    @Test
    public void whatIsNotListedStillFails() throws Exception {
        assertEquals(run(RED, 1, 1), 1);
        assertEquals(calls(), List.of(LEFT_OUT));
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"gingerspool.a.SlowTest#fails\n"},
            {"gingerspool.a.SlowTest#fails | a race\n"},
            {"gingerspool.a.SlowTest#fails | a race | \n"},
            {"gingerspool.a.SlowTest#fails |   | 43\n"},
            {"gingerspool.a.SlowTest#fails | a race | none\n"},
            {"gingerspool.a.SlowTest | a race | 43\n"},
            {"gingerspool.a.SlowTest#* | a race | 43\n"},
            {"gingerspool.a.*#fails | a race | 43\n"},
            {"gingerspool.a.SlowTest#fails,*Test | a race | 43\n"},
            {"gingerspool.a.SlowTest#gone | a race | 43\n"},
            {"gingerspool.b.SlowTest#fails | a race | 43\n"},
            {RED + "\n" + RED},
            {"# a comment\n"},
            {RED + RED + RED + RED},
            {RED + RED},
            {methods(ENTRIES)},
            {"  a note without an entry\n" + RED},
            {"gingerspool.a.SlowTest#fails | `mvn test`, seed 1 | a race\n"},
            {"gingerspool.a.SlowTest#fails | `mvn test`, seed 1 |  | 43\n"},
            {"gingerspool.a.SlowTest#fails | `mvn test` | a race | 43 | more\n"},
        };
    }

    @Test(dataProvider = "faults")
    public void aFaultyListFailsBeforeAnythingRuns(String list) throws Exception {
        assertNotEquals(run(list, 0, 0), 0);
        assertEquals(calls(), List.of());
        assertTrue(printed.startsWith("KNOWN-RED.txt: "), printed);
    }
}
