package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.testng.annotations.Test;

/**
 * Checks the files that decide on tasks: both deploy files list the same ones under `policy`, and
 * together they stay small enough to read.
 */
public class PolicyFilesTest {
    /** Maximum number of non-blank lines of all policy files together. */
    private static final int MAX_LINES = 1100;

    private static List<String> policyFiles(String deployFile) throws IOException {
        String line =
                Files.readAllLines(Path.of("deploy", deployFile)).stream()
                        .filter(l -> l.startsWith("policy = "))
                        .findFirst()
                        .orElseThrow();
        return Pattern.compile("\"([^\"]+)\"")
                .matcher(line)
                .results()
                .map((MatchResult m) -> m.group(1))
                .toList();
    }

    @Test
    public void deployFilesListSamePolicyFiles() throws IOException {
        assertEquals(policyFiles("system.toml"), policyFiles("balancer.toml"));
    }

    @Test
    public void policyFilesStayWithinMaxLines() throws IOException {
        long lines = 0;
        for (String file : policyFiles("balancer.toml")) {
            lines += Files.readAllLines(Path.of(file)).stream().filter(l -> !l.isBlank()).count();
        }
        assertTrue(lines > 0 && lines <= MAX_LINES, lines + " non-blank lines");
    }
}
