package gingerspool.capacity;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Each message of a control link: its bytes in a frame, and the time to encode and decode it. */
final class MessageTable {
    /** Bytes with the frame's length; microseconds of processor time. */
    record Row(int bytes, double encode, double decode) {}

    private MessageTable() {}

    static Map<String, Row> measure() throws Exception {
        KryoCodec codec = new KryoCodec(MessageTypes.ALL);
        Map<String, Row> rows = new LinkedHashMap<>();
        for (Object message : samples()) {
            byte[] bytes = codec.write(message);
            double encode = Meter.microsOf(() -> codec.write(message));
            double decode = Meter.microsOf(() -> codec.read(bytes));
            Row row = new Row(bytes.length + Integer.BYTES, encode, decode);
            rows.put(message.getClass().getSimpleName(), row);
        }
        return rows;
    }

    /** With names and numbers of the length that the target's would have. */
    private static List<Object> samples() {
        String function = new SampleConfiguration(1).function(400_000);
        String instance = "i-0123456789";
        return List.of(
                new Messages.Heartbeat("10.200.100.100"),
                new Messages.LeaderAnnouncement(
                        1000, "10.1.0.3", List.of("10.1.0.3", "10.2.0.3", "10.3.0.3")),
                new Messages.Register("front-zone-a-1234", "zone-a", 50_000, Map.of()),
                new Messages.Registered(1000),
                new Messages.SchedulerCount(13_000),
                new Messages.ConfigurationAck(50_000, Long.MAX_VALUE),
                new Messages.SlotDemand(function, 1, 100_000, 4, 100_000, 20.5),
                new Messages.SlotGrant(
                        function, instance, "10.20.30.40:12345", "zone-a", 4, 1, 0, 2),
                new Messages.SlotReturn(instance, 1, Messages.InstanceCondition.HEALTHY),
                new Messages.SlotRecall(function, 1),
                new Messages.InstanceWithdrawal(List.of(instance)),
                new Messages.ChangeCommand(
                        1, false, 50_000, new SampleConfiguration(1).change(50_001, 510_000)));
    }
}
