package gingerspool.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import gingerspool.scenario.Scenario;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Experiments start schedulers as they are deployed. */
public class SchedulerCommandTest {
    private static final Pattern DEPLOYED = Pattern.compile("(?m)^run = \"exec java (.*) -jar ");
    private static final String ARCHIVE = "-XX:SharedArchiveFile=";

    private Path folder;

    @BeforeMethod
    public void makeFolder() throws IOException {
        folder = Files.createTempDirectory("command");
    }

    @AfterMethod
    public void removeFolder() throws IOException {
        Folders.remove(folder);
    }

    private static List<String> command(List<String> classPath, Path file) {
        Scenario.Schedulers schedulers = new Scenario.Schedulers();
        schedulers.pinFrom = -1;
        return SchedulerCommand.of(new Run.Side("a", classPath, file), schedulers, 0);
    }

    /** Guards the figures: a flag that is added to the deployed command belongs here too. */
    @Test
    public void theFlagsAreThoseOfTheDeployedCommand() throws IOException {
        Matcher run = DEPLOYED.matcher(Files.readString(Path.of("deploy/balancer.toml")));
        assertTrue(run.find(), "deploy/balancer.toml has no run");
        List<String> deployed =
                List.of(run.group(1).split(" ")).stream()
                        .filter(flag -> !flag.startsWith(ARCHIVE))
                        .toList();
        assertEquals(SchedulerCommand.FLAGS, deployed);
    }

    /** An archive beside the jar is used, unless the jar is newer. */
    @Test
    public void theArchiveBesideTheJarIsUsed() throws IOException {
        Path jar = Files.createFile(folder.resolve("g.jar"));
        List<String> start = List.of("-jar", jar.toString());
        assertTrue(command(start, null).stream().noneMatch(part -> part.startsWith(ARCHIVE)));
        Path archive = Files.createFile(folder.resolve("g.jsa"));
        Files.setLastModifiedTime(jar, FileTime.fromMillis(1000));
        Files.setLastModifiedTime(archive, FileTime.fromMillis(2000));
        assertTrue(command(start, null).contains(ARCHIVE + archive), "not used");
        Run.Side side = new Run.Side("a", start, null);
        assertEquals(SchedulerCommand.directory(side), folder.getParent().toFile());
        Files.setLastModifiedTime(jar, FileTime.fromMillis(3000));
        assertTrue(command(start, null).stream().noneMatch(part -> part.startsWith(ARCHIVE)));
    }

    /** From classes, as in tests, there is no archive; the operator's file comes last. */
    @Test
    public void withoutAJarTheClassPathIsGiven() {
        List<String> command =
                command(List.of("-cp", "target/classes", "gingerspool.Main"), Path.of("/f.toml"));
        List<String> end =
                List.of("-cp", "target/classes", "gingerspool.Main", "serve", "--file", "/f.toml");
        assertEquals(command.subList(1 + SchedulerCommand.FLAGS.size(), command.size()), end);
    }
}
