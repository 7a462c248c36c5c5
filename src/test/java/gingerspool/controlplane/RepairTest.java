package gingerspool.controlplane;

import static org.testng.Assert.assertEquals;

import gingerspool.cli.Platforms;
import gingerspool.configuration.ConfigurationState;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Repair of copies of the configuration that were damaged in memory, on a running cluster. */
public class RepairTest {
    /** Completes the future once this node holds these items. */
    private static void await(
            ControlNode node, Map<String, String> expectedItems, CompletableFuture<Void> done) {
        if (node.configurationState.items().equals(expectedItems)) {
            done.complete(null);
        } else {
            node.loop.schedule(20, () -> await(node, expectedItems, done));
        }
    }

    @Test
    public void damagedCopyIsRepairedOnEveryMember() throws Exception {
        try (Platforms.Running platform =
                new Platforms.Running(Files.createTempDirectory("repair"))) {
            assertEquals(platform.configure().statusCode(), 200);
            ConfigurationState expected = new ConfigurationState();
            expected.apply(true, 0, Platforms.Running.CONFIGURATION.getBytes());
            Map<String, String> expectedItems = expected.items();
            for (ControlNode member : platform.core) {
                // Waits until every member has applied the configuration.
                CompletableFuture<Void> isApplied = new CompletableFuture<>();
                member.loop.submit(() -> await(member, expectedItems, isApplied));
                isApplied.get(10, TimeUnit.SECONDS);
            }
            for (ControlNode member : platform.core) {
                CompletableFuture<Void> repaired = new CompletableFuture<>();
                member.loop.submit(
                        () -> {
                            Map<String, String> damaged =
                                    new HashMap<>(member.configurationState.items());
                            damaged.put(
                                    "L/Routes/0",
                                    damaged.get("L/Routes/0").replace("hello", "other"));
                            damaged.put("F/Version", "[9]");
                            damaged.remove("T/1");
                            try {
                                ConfigurationState state = member.configurationState;
                                state.repair(damaged);
                                await(member, expectedItems, repaired);
                            } catch (gingerspool.configuration.InvalidConfigurationException e) {
                                repaired.completeExceptionally(e);
                            }
                        });
                repaired.get(20, TimeUnit.SECONDS);
            }
            for (ControlNode member : platform.core) {
                CompletableFuture<Map<String, String>> actualItems = new CompletableFuture<>();
                member.loop.submit(() -> actualItems.complete(member.configurationState.items()));
                assertEquals(actualItems.get(10, TimeUnit.SECONDS), expectedItems);
            }
        }
    }
}
