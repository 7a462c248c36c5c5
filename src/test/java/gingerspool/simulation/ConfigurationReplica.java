package gingerspool.simulation;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state machine of one simulated control process. The model below gives the same verdicts as
 * the real configuration state, without JSON.
 */
interface ConfigurationReplica {
    int TAKEN = 200;
    int INVALID = 400;
    int OTHER_VERSION = 412;

    /** Applies an order that was committed and says what the operator is answered. */
    int take(Order order);

    long version();

    long content();

    /** Whether this order is known as taken. */
    boolean has(Order order);

    byte[] state();

    void restore(byte[] state);

    /** The model: the version in force and, of each version taken, the order that made it. */
    final class Model implements ConfigurationReplica {
        private final TreeMap<Long, Order> taken = new TreeMap<>();

        @Override
        public int take(Order order) {
            if (has(order)) {
                return TAKEN;
            }
            if (order.base() != version()) {
                return OTHER_VERSION;
            }
            if (order.version() <= version()) {
                return INVALID;
            }
            taken.put(order.version(), order);
            return TAKEN;
        }

        @Override
        public long version() {
            return taken.isEmpty() ? 0 : taken.lastKey();
        }

        @Override
        public long content() {
            return taken.isEmpty() ? 0 : taken.lastEntry().getValue().content();
        }

        @Override
        public boolean has(Order order) {
            return order.equals(taken.get(order.version()));
        }

        @Override
        public byte[] state() {
            ByteBuffer buffer = ByteBuffer.allocate(3 * Long.BYTES * taken.size());
            for (Map.Entry<Long, Order> e : taken.entrySet()) {
                Order order = e.getValue();
                buffer.putLong(order.base()).putLong(order.version()).putLong(order.content());
            }
            return buffer.array();
        }

        @Override
        public void restore(byte[] state) {
            taken.clear();
            ByteBuffer buffer = ByteBuffer.wrap(state);
            while (buffer.hasRemaining()) {
                Order order = new Order(buffer.getLong(), buffer.getLong(), buffer.getLong());
                taken.put(order.version(), order);
            }
        }
    }
}
