package gingerspool.dataplane;

import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Listener;
import gingerspool.wire.Message;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * The HTTP endpoint at which the platform asks whether to send clients to this scheduler: it
 * answers GET /v1/readiness with 200 or 503. Created by {@link SchedulerNode}; runs on its event
 * loop.
 */
final class ReadinessEndpoint implements Listener.Owner, Inbound.Handler {
    /** For an idle connection, and for reading or writing one message. */
    private static final double CONNECTION_TIMEOUT_MS = 10_000;

    private static final int MAX_CONNECTIONS = 64;

    private final EventLoop loop;
    private final BooleanSupplier isReady;
    private final Listener listener;
    private int openConnections;

    ReadinessEndpoint(EventLoop loop, SocketAddress address, BooleanSupplier isReady)
            throws IOException {
        this.loop = loop;
        this.isReady = isReady;
        listener = new Listener(loop, address, this);
    }

    void start() {
        listener.acceptOn();
    }

    @Override
    public boolean hasRoom() {
        return openConnections < MAX_CONNECTIONS;
    }

    @Override
    public void outOfDescriptors() {}

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        openConnections++;
        new Inbound(loop, channel, this, CONNECTION_TIMEOUT_MS, CONNECTION_TIMEOUT_MS).start();
    }

    @Override
    public void asked(Inbound from, Message request) {
        boolean isKnown =
                request.method().equals("GET") && request.target().equals("/v1/readiness");
        from.answer(!isKnown ? 404 : isReady.getAsBoolean() ? 200 : 503, List.of(), "");
    }

    @Override
    public void idle(Inbound connection, boolean idle) {}

    @Override
    public void unreadable(BadMessage fault) {}

    @Override
    public void closed(Inbound connection) {
        openConnections--;
        listener.acceptOn();
    }
}
