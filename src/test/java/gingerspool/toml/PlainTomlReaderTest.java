package gingerspool.toml;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/** What is read here is what the library reads; all else is left to it. */
public class PlainTomlReaderTest {
    private static final Path FILE = Path.of("settings.toml");
    private static final String SETTINGS =
            """
            # written by the platform
            NodeName = "front-a-1"
            InternalPortRange = [7400,7415]
            SeedNodes = ["10.1.0.5:8248", "10.2.0.28:8248" ,]
            FirstStart = true
            LossCounted = false # not this one
            Empty = []
            Text = ""

            [Zones]
            a-1 = "r"
              b_2="r"
            [Limits]
            CpuShare = 0.186
            Cores = 1
            Negative = -3
            Half = -0.5
            Zero = 0
            """;

    private static String shown(Node node) {
        String line = node.at + "=";
        if (node.table() != null) {
            StringBuilder all = new StringBuilder(line);
            for (Map.Entry<String, Node> entry : node.table().entrySet()) {
                all.append(entry.getKey()).append(':').append(shown(entry.getValue())).append(' ');
            }
            return all.toString();
        }
        if (node.list() != null) {
            return line + node.list().stream().map(PlainTomlReaderTest::shown).toList();
        }
        return line + node.value + node.value.getClass().getSimpleName();
    }

    private static void assertAsLibrary(String text, Node read) {
        TomlParseResult library = Toml.parse(text);
        assertFalse(library.hasErrors(), library.errors() + " in\n" + text);
        assertEquals(shown(read), shown(Node.of(library, new SourceLocation(FILE, 0))), text);
    }

    @Test
    public void readsSettingsAsTheLibraryDoes() {
        assertAsLibrary(SETTINGS, PlainTomlReader.read(FILE, SETTINGS).orElseThrow());
    }

    @Test
    public void leavesWhatIsNotPlainToTheLibrary() {
        for (String text :
                List.of(
                        "a = \"x\\n\"",
                        "a = 'x'",
                        "a = \"\"\"x\"\"\"",
                        "a = 1_000",
                        "a = 007",
                        "a = 0x1f",
                        "a = 1e3",
                        "a = 1.",
                        "a = 1979-05-27",
                        "a = {x = 1}",
                        "a = [[1], [2]]",
                        "a = [1,\n2]",
                        "a.b = 1",
                        "\"a\" = 1",
                        "[a.b]\nc = 1",
                        "[[a]]\nb = 1",
                        "a = 1\na = 2",
                        "[a]\n[a]",
                        "a = 1 2",
                        "a = ",
                        "= 1",
                        "[a",
                        "a = tru")) {
            assertTrue(PlainTomlReader.read(FILE, text).isEmpty(), text);
        }
    }

    /** Files cut, changed or mixed at random: never another meaning, never one without a fault. */
    @Test
    public void neverReadsWhatTheLibraryReadsOtherwise() {
        String[] lines = SETTINGS.split("\n");
        String odd = "[]\"'=,.#-_ \t\\{}0129eatrue\n\r\u0001é";
        int read = 0;
        for (int seed = 0; seed < 3_000; seed++) {
            Random chance = new Random(seed);
            String[] some = lines.clone();
            for (int i = 0; i < 3; i++) {
                some[chance.nextInt(some.length)] = some[chance.nextInt(some.length)];
            }
            StringBuilder text = new StringBuilder(String.join("\n", Arrays.asList(some)));
            for (int i = chance.nextInt(3); i > 0; i--) {
                int at = chance.nextInt(text.length());
                char c = odd.charAt(chance.nextInt(odd.length()));
                if (chance.nextBoolean()) {
                    text.setCharAt(at, c);
                } else {
                    text.insert(at, c);
                }
            }
            var plain = PlainTomlReader.read(FILE, text.toString());
            if (plain.isPresent()) {
                read++;
                assertAsLibrary(text.toString(), plain.get());
            }
        }
        assertTrue(read > 100, read + " read");
    }
}
