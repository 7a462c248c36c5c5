package gingerspool.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import gingerspool.judge.Judge;
import gingerspool.judge.Verdict;
import gingerspool.peers.Folders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The play before the first one of a virtual machine. */
public class WarmUpTest {
    private final ByteArrayOutputStream said = new ByteArrayOutputStream();
    private Path folder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("warm-up");
        said.reset();
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        Folders.remove(folder);
    }

    private void once(WarmUp warmUp, List<String> classPath, Path out) throws Exception {
        warmUp.once(new Run.Side("a", classPath, null), out, new PrintStream(said, true));
    }

    /** Guards what it is for: requests, answers, a ban and the judge are gone through, once. */
    @Test
    public void itPlaysOnceAndItsRulesHold() throws Exception {
        WarmUp warmUp = new WarmUp();
        once(warmUp, Run.ownClassPath(), folder);
        once(warmUp, Run.ownClassPath(), folder.resolve("again"));
        assertFalse(Files.exists(folder.resolve("again")));
        assertEquals(said.toString(StandardCharsets.UTF_8), "");
        Path played = folder.resolve("warm-up");
        Path clients = played.resolve("clients.tsv");
        String record = Files.readString(clients);
        assertTrue(record.contains("\tsuspended w1\t"), record);
        assertTrue(record.contains("\t200\t"), record);
        long planned =
                Files.readAllLines(played.resolve("plan.txt")).stream()
                        .filter(line -> line.startsWith("request "))
                        .count();
        Verdict verdict = Judge.judge(clients, played.resolve("executions.tsv"));
        assertEquals(verdict.all().asked, planned);
    }

    /** Guards plays: what goes wrong in it does not keep them from being played. */
    @Test
    public void oneThatCannotBePlayedIsToldOf() throws Exception {
        List<String> noProgram = List.of("-jar", folder.resolve("none.jar").toString());
        once(new WarmUp(), noProgram, folder);
        String text = said.toString(StandardCharsets.UTF_8);
        assertTrue(text.startsWith("the warm-up could not be played: "), text);
    }
}
