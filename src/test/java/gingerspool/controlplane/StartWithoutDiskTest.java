package gingerspool.controlplane;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Ports;
import gingerspool.settings.NodeSettings;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A control node whose disk is unusable, or whose log is unreadable, at the start. */
public class StartWithoutDiskTest {
    private static final String IP = "127.0.8.1";

    private final HttpClient client = HttpClient.newHttpClient();

    private static ControlNode node(Path folder, Path dataDirectory, int port) throws Exception {
        int internalPort = Ports.free(IP);
        Path file = folder.resolve("settings.toml");
        Files.writeString(
                file,
                """
                NodeName = "core-1"
                IpAddress = "%s"
                Zone = "a"
                InternalPortRange = [%d,%d]
                SeedNodes = ["%s:%d"]
                FirstStart = true
                DataDirectory = "%s"
                HeartbeatIntervalMs = 200
                [Zones]
                a = "r"
                [ListenAddresses]
                ControlAddress = "%s:%d"
                [Cloud]
                Address = "127.0.8.9:1"
                """
                        .formatted(
                                IP, internalPort, internalPort, IP, port, dataDirectory, IP, port));
        return new ControlNode(NodeSettings.read(file));
    }

    private int read(int port) throws IOException, InterruptedException {
        URI uri = URI.create("http://" + IP + ":" + port + "/v1/configuration/read");
        return client.send(
                        HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
                .statusCode();
    }

    @Test
    public void returns503UntilDiskIsUsable() throws Exception {
        Path folder = Files.createTempDirectory("start");
        Path blockingFile = folder.resolve("in-the-way");
        Files.write(blockingFile, new byte[1]);
        int port = Ports.free(IP);
        ControlNode node = node(folder, blockingFile.resolve("data"), port);
        try {
            CompletableFuture<Void> listening = new CompletableFuture<>();
            node.start(listening::completeExceptionally);
            node.loop.submit(() -> listening.complete(null));
            listening.get(10, TimeUnit.SECONDS);
            assertEquals(read(port), 503);
            Files.delete(blockingFile);
            CompletableFuture<Void> leading = new CompletableFuture<>();
            node.loop.submit(() -> awaitLead(node, leading));
            leading.get(10, TimeUnit.SECONDS);
            assertEquals(read(port), 404, "the node leads alone and has no configuration");
        } finally {
            node.close();
        }
    }

    private static void awaitLead(ControlNode node, CompletableFuture<Void> leading) {
        if (node.isLeading()) {
            leading.complete(null);
        } else {
            node.loop.schedule(20, () -> awaitLead(node, leading));
        }
    }

    @Test
    public void joinsAsLearnerWhenLogIsUnreadable() throws Exception {
        Path folder = Files.createTempDirectory("start");
        Path data = Files.createDirectories(folder.resolve("data"));
        Files.write(data.resolve("ledger-3.mv"), new byte[9000]);
        ControlNode node = node(folder, data, Ports.free(IP));
        try {
            CompletableFuture<Boolean> isLearner = new CompletableFuture<>();
            node.start(isLearner::completeExceptionally);
            node.loop.submit(() -> awaitMember(node, isLearner));
            assertTrue(isLearner.get(10, TimeUnit.SECONDS), "the node founded a new cluster");
        } finally {
            node.close();
        }
    }

    private static void awaitMember(ControlNode node, CompletableFuture<Boolean> isLearner) {
        if (node.isRecovered()) {
            isLearner.complete(node.isLearner());
        } else {
            node.loop.schedule(20, () -> awaitMember(node, isLearner));
        }
    }
}
