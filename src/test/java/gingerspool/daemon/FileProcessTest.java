package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * `serve --file` in its own process, with the platform's configuration as well. The operator's file
 * is reloaded on SIGHUP.
 */
public class FileProcessTest {
    /** An operator's file that agrees with the platform's configuration. */
    private static final String FILE_CONTENT =
            "[profile.p]\neffect = \"idempotent\"\nexpiry = \"5s\"\n";

    private Path folder;
    private Path file;
    private Process process;

    @BeforeMethod
    public void begin() throws IOException {
        folder = Files.createTempDirectory("gingerspool");
        file = folder.resolve("main.toml");
        Files.writeString(folder.resolve("node.json"), ConfigurationTest.NODE.replace('\'', '"'));
    }

    @AfterMethod
    public void end() throws Exception {
        process.destroyForcibly().waitFor();
        Folders.remove(folder);
    }

    /** Starts the process with this operator's file and returns its output. */
    private BufferedReader start(String content) throws IOException {
        Files.writeString(file, content);
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gingerspool.Main",
                        "serve",
                        "--file",
                        file.toString());
        builder.environment().put("GW_CONFIG", folder.resolve("node.json").toString());
        process = builder.redirectErrorStream(true).start();
        return process.inputReader();
    }

    /** Reads up to the first line that contains this text and returns it. */
    private static String skipTo(BufferedReader log, String text) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            line = log.readLine();
        }
        assertNotNull(line, text + " is missing from the log");
        return line;
    }

    private void sendSighup() throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    @Test
    public void sighupAppliesAValidFileAndRefusesAnInvalidOne() throws Exception {
        BufferedReader log = start(FILE_CONTENT);
        skipTo(log, " serving");
        Files.writeString(file, FILE_CONTENT + "[[route]]\nname = \"r\"\nassignments = 9\n");
        sendSighup();
        assertTrue(skipTo(log, " file.fault").contains("line=6 "), "the faulty line must be named");
        skipTo(log, " file.refused");
        Files.writeString(file, FILE_CONTENT + "[[route]]\nname = \"r\"\nassignments = 2\n");
        sendSighup();
        assertTrue(skipTo(log, " file.applied").contains("routes=1 "));
        // The platform's profiles are in force: a file that was checked against others is refused.
        Files.writeString(file, FILE_CONTENT.replace("idempotent", "side-effecting"));
        sendSighup();
        assertTrue(skipTo(log, " file.refused").contains("profile.p.effect differs"));
        assertTrue(process.isAlive());
    }

    @Test
    public void fileContradictingThePlatformIsRefusedAtStart() throws Exception {
        BufferedReader log = start(FILE_CONTENT.replace("5s", "6s"));
        skipTo(log, "profile.p.expiry is beyond the platform's");
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
        assertEquals(process.exitValue(), 2);
    }

    @Test
    public void logIsJsonIfTheFileSaysSo() throws Exception {
        String line = skipTo(start("log.form = \"json\"\n" + FILE_CONTENT), "\"serving\"");
        assertTrue(
                line.startsWith("{")
                        && line.contains("\"message\":\"serving\"")
                        && line.contains("{\"name\":\"n1\"}"),
                line);
    }
}
