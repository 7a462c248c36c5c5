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

/** A control process whose disk can't be used as it starts. */
public class StartWithoutDiskTest {
    private static final String IP = "127.0.8.1";

    private final HttpClient client = HttpClient.newHttpClient();

    private static ControlNode node(Path folder, Path data, int port) throws Exception {
        int inner = Ports.free(IP);
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
                        .formatted(IP, inner, inner, IP, port, data, IP, port));
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
        Path inTheWay = folder.resolve("in-the-way");
        Files.write(inTheWay, new byte[1]);
        int port = Ports.free(IP);
        ControlNode node = node(folder, inTheWay.resolve("data"), port);
        try {
            CompletableFuture<Void> listens = new CompletableFuture<>();
            node.begin(listens::completeExceptionally);
            node.loop.submit(() -> listens.complete(null));
            listens.get(10, TimeUnit.SECONDS);
            assertEquals(read(port), 503);
            Files.delete(inTheWay);
            CompletableFuture<Void> leads = new CompletableFuture<>();
            node.loop.submit(() -> awaitLead(node, leads));
            leads.get(10, TimeUnit.SECONDS);
            assertEquals(read(port), 404, "it leads, alone, and has no configuration");
        } finally {
            node.close();
        }
    }

    private static void awaitLead(ControlNode node, CompletableFuture<Void> leads) {
        if (node.isLeading()) {
            leads.complete(null);
        } else {
            node.loop.schedule(20, () -> awaitLead(node, leads));
        }
    }

    @Test
    public void joinsAsLearnerWhenLogIsUnreadable() throws Exception {
        Path folder = Files.createTempDirectory("start");
        Path data = Files.createDirectories(folder.resolve("data"));
        Files.write(data.resolve("ledger-3.mv"), new byte[9000]);
        ControlNode node = node(folder, data, Ports.free(IP));
        try {
            CompletableFuture<Boolean> learner = new CompletableFuture<>();
            node.begin(learner::completeExceptionally);
            node.loop.submit(() -> awaitMember(node, learner));
            assertTrue(learner.get(10, TimeUnit.SECONDS), "it founded a core of its own");
        } finally {
            node.close();
        }
    }

    private static void awaitMember(ControlNode node, CompletableFuture<Boolean> learner) {
        if (node.isRecovered()) {
            learner.complete(node.isLearner());
        } else {
            node.loop.schedule(20, () -> awaitMember(node, learner));
        }
    }
}
