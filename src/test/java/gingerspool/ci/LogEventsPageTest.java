package gingerspool.ci;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** The pages for operators name each event that the two programs can log, and no other. */
public class LogEventsPageTest {
    private static final Path SOURCES = Path.of("src/main/java/gingerspool");

    /** What only the testbed and measurements load. */
    private static final Set<String> NOT_IN_SERVICE =
            Set.of("standin", "load", "judge", "experiment", "scenario");

    /** SLF4J's fluent form ends with the event, Log4j's text begins with it. */
    private static final Pattern LOGGED =
            Pattern.compile(
                    "\\.log\\(\\s*\"([a-z][a-z_.]*)\"\\s*\\)"
                            + "|(?:LOG|log)\\.(?:info|warn|error|debug)\\(\\s*\"([a-z][a-z_.]*)[ \"=]");

    private static final Pattern QUOTED = Pattern.compile("`([^`]+)`");
    private static final Pattern EVENT = Pattern.compile("[a-z][a-z_]*(\\.[a-z_]+)+");

    private static Set<String> inCode() throws IOException {
        Set<String> events = new TreeSet<>();
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                String subsystem = SOURCES.relativize(file).getName(0).toString();
                if (!NOT_IN_SERVICE.contains(subsystem)) {
                    Matcher m = LOGGED.matcher(Files.readString(file));
                    while (m.find()) {
                        events.add(m.group(1) != null ? m.group(1) : m.group(2));
                    }
                }
            }
        }
        return events;
    }

    /** The names in the first column of the page's tables of log lines. */
    private static Set<String> onPage(Path page) throws IOException {
        Set<String> events = new TreeSet<>();
        for (String line : Files.readAllLines(page)) {
            if (line.startsWith("| `")) {
                Matcher m = QUOTED.matcher(line.substring(0, line.indexOf(" | ", 2)));
                while (m.find()) {
                    events.add(m.group(1).split("[ =]")[0]);
                }
            }
        }
        return events;
    }

    @Test
    public void eachEventInTheCodeIsOnAPage() throws IOException {
        Set<String> code = inCode();
        assertTrue(code.size() > 50, code.toString());
        Set<String> missing = new TreeSet<>(code);
        missing.removeAll(onPage(Path.of("docs/oncall.md")));
        missing.removeAll(onPage(Path.of("docs/operations.md")));
        assertEquals(missing, Set.of());
    }

    @Test
    public void eachEventOnAPageIsInTheCode() throws IOException {
        Set<String> page = onPage(Path.of("docs/oncall.md"));
        page.addAll(onPage(Path.of("docs/operations.md")));
        page.removeIf(name -> !EVENT.matcher(name).matches());
        page.removeAll(inCode());
        assertEquals(page, Set.of());
    }
}
