package gingerspool.barometer;

import static org.testng.Assert.assertEquals;

import gingerspool.almanac.Almanac;
import gingerspool.cli.Platforms;
import java.nio.file.Files;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Copies of the configuration on a running core, damaged in memory. */
public class RepairTest {
    /** Done once this member holds these items. */
    private static void await(Barometer of, Map<String, String> right, CompletableFuture<Void> done) {
        if (of.almanac.items().equals(right)) {
            done.complete(null);
        } else {
            of.loop.after(20, () -> await(of, right, done));
        }
    }

    @Test
    public void eachMembersCopyIsMendedFromTheOthersTheLeadersToo() throws Exception {
        try (Platforms.Running platform = new Platforms.Running(Files.createTempDirectory("repair"))) {
            assertEquals(platform.configure().statusCode(), 200);
            Almanac taken = new Almanac();
            taken.take(true, 0, Platforms.Running.CONFIGURATION.getBytes());
            Map<String, String> right = taken.items();
            for (Barometer member : platform.core) {
                // All have delivered it once they answer to it.
                CompletableFuture<Void> has = new CompletableFuture<>();
                member.loop.enter(() -> await(member, right, has));
                has.get(10, TimeUnit.SECONDS);
            }
            for (Barometer member : platform.core) {
                CompletableFuture<Void> mended = new CompletableFuture<>();
                member.loop.enter(() -> {
                    Map<String, String> damaged = new HashMap<>(member.almanac.items());
                    damaged.put("L/Routes/0", damaged.get("L/Routes/0").replace("hello", "other"));
                    damaged.put("F/Version", "[9]");
                    damaged.remove("T/1");
                    try {
                        Almanac a = member.almanac;
                        a.mend(damaged);
                        await(member, right, mended);
                    } catch (gingerspool.almanac.BadConfiguration e) {
                        mended.completeExceptionally(e);
                    }
                });
                mended.get(20, TimeUnit.SECONDS);
            }
        }
    }
}
