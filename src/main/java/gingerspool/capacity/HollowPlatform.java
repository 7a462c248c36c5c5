package gingerspool.capacity;

import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Json;
import gingerspool.wire.Listener;
import gingerspool.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A platform whose list of instances never changes: one of each function, in pages; it has no
 * machine with room, and starts and stops nothing.
 */
final class HollowPlatform implements Listener.Owner, Inbound.Handler {
    static final int PAGE = 100;
    private static final String TOKEN = "PageToken=";
    static final int SLOTS = 4;
    private final EventLoop loop;
    private final Listener listener;
    private final SampleConfiguration sample;
    private final int instances;

    HollowPlatform(EventLoop loop, InetSocketAddress at, SampleConfiguration sample, int instances)
            throws IOException {
        this.loop = loop;
        this.sample = sample;
        this.instances = instances;
        listener = new Listener(loop, at, this);
    }

    void begin() {
        listener.acceptOn();
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.address();
    }

    void close() {
        listener.close();
    }

    /** One entry of the list, as the platform's page shows it. */
    static Map<String, Object> entry(SampleConfiguration sample, int number) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("Identifier", "i-" + number);
        entry.put("Service", sample.function(number));
        entry.put("Address", "10.20.0.1:" + (1024 + number % 60_000));
        entry.put("Zone", "zone-a");
        entry.put("Worker", "host-" + number % 100);
        entry.put("Version", "1");
        entry.put("ConcurrencySlots", SLOTS);
        entry.put("State", "ready");
        entry.put("ColdRemainingMs", 0);
        return entry;
    }

    /** A page that begins with this instance. */
    static String page(SampleConfiguration sample, int from, int instances) {
        List<Object> entries = new ArrayList<>();
        int end = Math.min(instances, from + PAGE);
        for (int i = from; i < end; i++) {
            entries.add(entry(sample, i));
        }
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("Instances", entries);
        page.put("NextPageToken", end < instances ? Integer.toString(end) : null);
        return Json.write(page);
    }

    @Override
    public void asked(Inbound from, Message m) {
        String target = m.target();
        if (target.startsWith("/instances")) {
            int token = target.indexOf(TOKEN);
            int first = token < 0 ? 0 : Integer.parseInt(target.substring(token + TOKEN.length()));
            from.answer(200, List.of(), page(sample, first, instances));
        } else if (target.startsWith("/v1/workers")) {
            from.answer(200, List.of(), Json.write(Map.of("Workers", List.of())));
        } else {
            from.answer(409, List.of(), "{}");
        }
    }

    @Override
    public boolean hasRoom() {
        return true;
    }

    @Override
    public void outOfDescriptors() {}

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        new Inbound(loop, channel, this).start();
    }

    @Override
    public void idle(Inbound connection, boolean idle) {}

    @Override
    public void unreadable(BadMessage fault) {}

    @Override
    public void closed(Inbound connection) {
        listener.acceptOn();
    }
}
