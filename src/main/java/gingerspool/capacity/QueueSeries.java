package gingerspool.capacity;

import gingerspool.capacity.Series.Medium;
import gingerspool.codec.KryoCodec;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.dataplane.HollowScheduler;
import gingerspool.settings.NodeSettings;
import gingerspool.wire.Json;
import gingerspool.wire.SingleThreadEventLoop;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a scheduler holds by function with a queue and by slot, and what the platform's list costs.
 */
final class QueueSeries {
    private static final int[] QUEUES = {250, 500, 1000, 2000, 4000};
    private static final int[] INSTANCES = {1000, 2000, 4000, 8000, 16000};
    private final Scale scale;

    QueueSeries(Scale scale) {
        this.scale = scale;
    }

    List<Series> measure() throws Exception {
        KryoCodec codec = new KryoCodec(MessageTypes.ALL);
        List<Series> all = new ArrayList<>();
        all.add(
                series(
                        "scheduler.heap.queue",
                        "a scheduler's heap by functions with a queue",
                        "B",
                        "function with a queue",
                        QUEUES,
                        this::queueHeap));
        all.add(
                series(
                        "scheduler.holdings.bytes",
                        "a scheduler's report of what it holds",
                        "B",
                        "instance held",
                        QUEUES,
                        (n, seed) ->
                                codec.write(new Messages.SlotHoldings(0, holdings(n))).length));
        all.add(
                series(
                        "platform.list.bytes",
                        "the platform's list, all pages",
                        "B",
                        "instance",
                        INSTANCES,
                        (n, seed) -> pages(n, seed).stream().mapToLong(p -> p.length).sum()));
        all.add(
                series(
                        "platform.list.time",
                        "the leader parses the platform's list",
                        "us",
                        "instance",
                        INSTANCES,
                        this::parse));
        return all;
    }

    private Series series(
            String key, String what, String unit, String per, int[] sizes, Series.Probe probe)
            throws Exception {
        return Series.measure(key, what, unit, per, Medium.MEMORY, scale, sizes, probe);
    }

    private static Map<String, Integer> holdings(int instances) {
        Map<String, Integer> held = new LinkedHashMap<>();
        for (int i = 0; i < instances; i++) {
            held.put("i-" + i, 1);
        }
        return held;
    }

    private double queueHeap(int queues, long seed) throws Exception {
        Path file = Files.createTempFile("gingerspool-capacity", ".toml");
        Files.writeString(
                file,
                "NodeName = \"front\"\nIpAddress = \"127.0.8.1\"\nZone = \"zone-a\"\n"
                        + "InternalPortRange = [1,1]\n[Zones]\nzone-a = \"region-a\"\n");
        SingleThreadEventLoop loop = new SingleThreadEventLoop();
        try {
            HollowScheduler scheduler =
                    new HollowScheduler(
                            loop,
                            NodeSettings.read(file),
                            () -> HollowScheduler.registration("front", "zone-a"),
                            message -> {});
            Configuration c = new SampleConfiguration(seed).typed(queues);
            return Meter.heapOf(() -> queues(scheduler, c));
        } finally {
            loop.stop();
            Files.deleteIfExists(file);
        }
    }

    private static List<Object> queues(HollowScheduler scheduler, Configuration c) {
        List<Object> all = new ArrayList<>();
        for (int i = 0; i < c.getServicesCount(); i++) {
            all.add(scheduler.queue(c.getServices(i), List.of(c.getRoutes(i))));
        }
        return all;
    }

    private static List<byte[]> pages(int instances, long seed) {
        SampleConfiguration sample = new SampleConfiguration(seed);
        List<byte[]> pages = new ArrayList<>();
        for (int from = 0; from < instances; from += HollowPlatform.PAGE) {
            pages.add(
                    HollowPlatform.page(sample, from, instances).getBytes(StandardCharsets.UTF_8));
        }
        return pages;
    }

    private double parse(int instances, long seed) throws Exception {
        List<byte[]> pages = pages(instances, seed);
        return Meter.microsOf(
                () -> {
                    for (byte[] page : pages) {
                        Json.read(page, 0, page.length);
                    }
                });
    }
}
