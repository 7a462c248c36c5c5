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

/** Copies of the configuration on a running core, damaged in memory. */
public class RepairTest {
    /** Done once this member holds these items. */
    private static void await(
            ControlNode of, Map<String, String> right, CompletableFuture<Void> done) {
        if (of.configurationState.items().equals(right)) {
            done.complete(null);
        } else {
            of.loop.schedule(20, () -> await(of, right, done));
        }
    }

    @Test
    public void damagedCopyIsRepairedOnEveryMember() throws Exception {
        try (Platforms.Running platform =
                new Platforms.Running(Files.createTempDirectory("repair"))) {
            assertEquals(platform.configure().statusCode(), 200);
            ConfigurationState taken = new ConfigurationState();
            taken.apply(true, 0, Platforms.Running.CONFIGURATION.getBytes());
            Map<String, String> right = taken.items();
            for (ControlNode member : platform.core) {
                // All have delivered it once they answer to it.
                CompletableFuture<Void> has = new CompletableFuture<>();
                member.loop.submit(() -> await(member, right, has));
                has.get(10, TimeUnit.SECONDS);
            }
            for (ControlNode member : platform.core) {
                CompletableFuture<Void> mended = new CompletableFuture<>();
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
                                ConfigurationState a = member.configurationState;
                                a.repair(damaged);
                                await(member, right, mended);
                            } catch (gingerspool.configuration.InvalidConfigurationException e) {
                                mended.completeExceptionally(e);
                            }
                        });
                mended.get(20, TimeUnit.SECONDS);
            }
            for (ControlNode member : platform.core) {
                CompletableFuture<Map<String, String>> held = new CompletableFuture<>();
                member.loop.submit(() -> held.complete(member.configurationState.items()));
                assertEquals(held.get(10, TimeUnit.SECONDS), right);
            }
        }
    }
}
