package gingerspool.capacity;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All that one run measured. */
public record Measurement(
        Scale scale,
        List<Series> series,
        Map<String, MessageTable.Row> messages,
        Map<String, double[]> idleTypes,
        double seconds) {

    /** Measures everything; progress goes to the writer. */
    public static Measurement run(Scale scale, PrintWriter progress) throws Exception {
        long begun = System.nanoTime();
        List<Series> all = new ArrayList<>();
        tell(progress, begun, "messages");
        Map<String, MessageTable.Row> messages = MessageTable.measure();
        tell(progress, begun, "slots and scaler");
        all.addAll(new SlotSeries(scale).measure());
        tell(progress, begun, "configuration");
        all.addAll(new ConfigurationSeries(scale).measure());
        tell(progress, begun, "consensus and log");
        all.addAll(new ConsensusSeries(scale).measure());
        tell(progress, begun, "queues and the platform's list");
        all.addAll(new QueueSeries(scale).measure());
        tell(progress, begun, "links over loopback");
        LinkSeries links = new LinkSeries(scale);
        all.addAll(links.measure());
        double seconds = (System.nanoTime() - begun) / 1e9;
        tell(progress, begun, "done");
        return new Measurement(scale, all, messages, links.idleTypes(), seconds);
    }

    private static void tell(PrintWriter progress, long begun, String what) {
        progress.printf("%.0f s: %s%n", (System.nanoTime() - begun) / 1e9, what);
        progress.flush();
    }

    /** The series by key. */
    Map<String, Series> byKey() {
        Map<String, Series> by = new LinkedHashMap<>();
        series.forEach(s -> by.put(s.key(), s));
        return by;
    }
}
