package gingerspool.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import gingerspool.peers.Ports;
import java.io.BufferedReader;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.RandomAccessFile;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A scheduler in its own process whose standard error, or configuration file, is a named pipe that
 * is not read or not written for a while.
 */
public class StalledPipeTest {
    /** Operators and the front end are promised an answer within this time. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

    /** The time from SIGTERM to SIGKILL: the longest expiry, at most 3 s, plus 0.7 s. */
    private static final long KILL_DELAY_MS = 3_700;

    private static final int RELOAD_TIMEOUT_MS = 20_000;

    /** The exit status of a process that SIGTERM has ended. */
    private static final int SIGTERM_EXIT = 143;

    /** No other process uses this address, so a port that was found free stays free. */
    private static final String HOST = "127.0.64.1";

    private final HttpClient http = HttpClient.newHttpClient();
    private Path folder;
    private Path pipe;
    private int clientPort;
    private int managementPort;
    private Process process;
    private BufferedReader log;

    /** Starts the process and reads its log up to the line that reports that it serves. */
    @BeforeMethod
    public void begin() throws Exception {
        folder = Files.createTempDirectory("gingerspool");
        pipe = folder.resolve("stderr");
        assertEquals(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor(), 0);
        clientPort = Ports.free(HOST);
        managementPort = Ports.free(HOST);
        Files.writeString(
                folder.resolve("node.json"),
                ConfigurationTest.NODE
                        .replace("127.0.0.1:0", HOST + ":" + clientPort)
                        .replace('\'', '"'));
        // Opening a pipe for writing blocks until it is open for reading, so it is opened for both.
        RandomAccessFile readWriteEnd = new RandomAccessFile(pipe.toFile(), "rw");
        try {
            process = start();
            log =
                    new BufferedReader(
                            new InputStreamReader(
                                    new FileInputStream(pipe.toFile()), StandardCharsets.UTF_8));
        } finally {
            readWriteEnd.close();
        }
        skipTo(" serving");
    }

    @AfterMethod
    public void end() throws Exception {
        process.destroyForcibly().waitFor();
        log.close();
        Folders.remove(folder);
    }

    private Process start() throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "gingerspool.Main",
                        "serve");
        builder.environment().put("GW_CONFIG", folder.resolve("node.json").toString());
        builder.environment().put("GW_MANAGEMENT", HOST + ":" + managementPort);
        builder.environment().remove("TMPDIR");
        return builder.redirectError(pipe.toFile()).start();
    }

    /** Reads the log up to the first line that contains this. */
    private void skipTo(String text) throws IOException {
        StringBuilder skipped = new StringBuilder();
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            skipped.append(line).append('\n');
            line = log.readLine();
        }
        assertNotNull(line, text + " is missing from the log: " + skipped);
    }

    /** Writes to the pipe until it is full. */
    private void fillPipe() throws Exception {
        Process fill =
                new ProcessBuilder(
                                "dd",
                                "if=/dev/zero",
                                "of=" + pipe,
                                "bs=4096",
                                "conv=notrunc",
                                "oflag=nonblock")
                        .redirectErrorStream(true)
                        .start();
        String output = new String(fill.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(fill.waitFor(), 1, output);
        assertTrue(output.contains("temporarily unavailable"), output);
    }

    private int status(int port, String method, String path) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path))
                        .timeout(ANSWER_TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.noBody())
                        .build();
        return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    /** Makes an operators' call that is logged before it is answered. */
    private void makeLoggedCall() throws Exception {
        assertEquals(status(managementPort, "POST", "/v1/scheduler/activate"), 200);
    }

    @Test
    public void requestsAreAnsweredThoughTheLogIsNotRead() throws Exception {
        fillPipe();
        makeLoggedCall();
        assertEquals(status(clientPort, "GET", "/healthz"), 200);
    }

    @Test
    public void sigtermEndsTheProcessInTime() throws Exception {
        fillPipe();
        process.destroy();
        assertTrue(
                process.waitFor(KILL_DELAY_MS, TimeUnit.MILLISECONDS),
                "still running after SIGTERM");
        assertEquals(process.exitValue(), SIGTERM_EXIT);
    }

    @Test
    public void linesLoggedMeanwhileAreWrittenOnceTheReaderResumes() throws Exception {
        fillPipe();
        makeLoggedCall();
        skipTo(" operators.call");
    }

    /** On SIGHUP the configuration is reloaded, here from a pipe that was not written to yet. */
    @Test(timeOut = RELOAD_TIMEOUT_MS)
    public void requestsAreAnsweredWhileTheConfigurationIsRead() throws Exception {
        Path file = folder.resolve("node.json");
        byte[] content = Files.readAllBytes(file);
        Files.delete(file);
        assertEquals(new ProcessBuilder("mkfifo", file.toString()).start().waitFor(), 0);
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
        // Blocks until the process has opened the pipe for reading.
        try (FileOutputStream writer = new FileOutputStream(file.toFile())) {
            assertEquals(status(clientPort, "GET", "/healthz"), 200);
            writer.write(content);
        }
        skipTo(" config.reloaded");
    }

    /** If the log is read without delay, its last lines must not be lost. */
    @Test
    public void theLastLineIsWrittenBeforeTheProcessEnds() throws Exception {
        process.destroy();
        skipTo(" left");
        assertTrue(
                process.waitFor(KILL_DELAY_MS, TimeUnit.MILLISECONDS),
                "still running after SIGTERM");
    }
}
