package gingerspool.dataplane;

import gingerspool.codec.Messages;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import gingerspool.settings.NodeSettings;
import gingerspool.store.ConnectionPool;
import gingerspool.wire.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A scheduler without clients, for measurements of capacity: the real links to the core, and real
 * queues of functions that nobody calls. Thousands share a process and one thread.
 */
public final class HollowScheduler {
    private final EventLoop loop;
    private final NodeSettings settings;
    private final ControlLinks links;
    private int identities;

    /**
     * Registers under the name that the supplier's message bears; the leader's messages go to the
     * consumer.
     */
    public HollowScheduler(
            EventLoop loop,
            NodeSettings settings,
            Supplier<Messages.Register> registration,
            Consumer<Object> messages) {
        this.loop = loop;
        this.settings = settings;
        links = new ControlLinks(loop, settings, registration, messages);
    }

    /** Begins to connect; to be called in a turn. */
    public void begin() {
        links.begin();
    }

    public boolean isLed() {
        return links.isLed();
    }

    /** Tells the leader; false where there is none. */
    public boolean tell(Object message) {
        return links.tellLeader(message);
    }

    /** A queue of a function as the scheduler makes it at the first request. */
    public Object queue(Service service, List<Route> routes) {
        FunctionQueue queue = new FunctionQueue(new Surroundings(), service.getName());
        queue.configured(service, routes);
        return queue;
    }

    /** What a queue needs; nothing is ever sent to an instance or answered to a client. */
    private final class Surroundings implements FunctionQueue.Environment {
        @Override
        public EventLoop loop() {
            return loop;
        }

        @Override
        public ConnectionPool pool() {
            return null;
        }

        @Override
        public NodeSettings settings() {
            return settings;
        }

        @Override
        public int schedulers() {
            return 1;
        }

        @Override
        public boolean tellLeader(Object message) {
            return links.tellLeader(message);
        }

        @Override
        public double leaderlessFor() {
            return 0;
        }

        @Override
        public int takePoolIndex() {
            return identities++;
        }

        @Override
        public void leavePoolIndex(int identity) {}

        @Override
        public void answer(PendingRequest request, int status, List<String> fields, byte[] body) {}
    }

    /** What a scheduler that holds nothing says to register. */
    public static Messages.Register registration(String name, String zone) {
        return new Messages.Register(name, zone, 0, Map.of());
    }
}
