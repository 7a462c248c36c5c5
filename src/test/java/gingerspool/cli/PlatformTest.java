package gingerspool.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import org.testng.annotations.Test;

/** The whole path on loopback, from the operator to an instance of the stand-in. */
public class PlatformTest {
    @Test
    public void servesThroughTheLossOfTheLeader() throws Exception {
        try (Platforms.Running platform =
                new Platforms.Running(Files.createTempDirectory("platform"))) {
            assertEquals(platform.configure().statusCode(), 200);
            HttpResponse<String> first = platform.request("/hello/world", 50);
            assertEquals(first.statusCode(), 200, first.body());
            assertTrue(first.headers().firstValue("Server-Stamp").isPresent());
            assertEquals(platform.request("/none/", 1).statusCode(), 404);
            assertEquals(platform.configure().statusCode(), 200, "the same configuration again");
            // Whoever leads, the others go on; the loop of a stopped one answers no more.
            platform.core.get(0).stop(() -> {});
            HttpResponse<String> second = platform.request("/hello/again", 50);
            assertEquals(second.statusCode(), 200, second.body());
            for (int machine = 2; machine <= 3; machine++) {
                Object read = Json.read(platform.read(machine).body());
                assertEquals(JsonTree.number(0, read, "Version"), 1.0);
                assertEquals(
                        read,
                        Json.read(Platforms.Running.CONFIGURATION),
                        "read back as it was sent");
            }
            assertEquals(platform.cloud.turnedAway, 0);
        }
    }
}
