package gingerspool.controlplane;

import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Listener;
import gingerspool.wire.Message;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The HTTP endpoint for operators: decodes requests and passes them on as {@link OperatorCall}s.
 * Runs on the event loop of its {@link ControlNode}.
 */
final class OperatorEndpoint implements Listener.Owner, Inbound.Handler {
    /** How long a connection may be idle, and how long one message or answer may take. */
    private static final double CONNECTION_TIMEOUT_MS = 10_000;

    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int MAX_BODY_BYTES = 2 << 20;
    private static final int MAX_CONNECTIONS = 256;

    private final EventLoop loop;
    private final Consumer<OperatorCall> callHandler;
    private final Set<Inbound> openConnections = new HashSet<>();
    private final Listener listener;

    OperatorEndpoint(EventLoop loop, SocketAddress address, Consumer<OperatorCall> callHandler)
            throws IOException {
        this.loop = loop;
        this.callHandler = callHandler;
        listener = new Listener(loop, address, this);
    }

    void start() {
        listener.acceptOn();
    }

    void drain() {
        listener.close();
        openConnections.forEach(connection -> connection.endAfterAnswer(true));
    }

    @Override
    public boolean hasRoom() {
        return openConnections.size() < MAX_CONNECTIONS;
    }

    @Override
    public void outOfDescriptors() {}

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        Inbound connection =
                new Inbound(
                        loop,
                        channel,
                        this,
                        CONNECTION_TIMEOUT_MS,
                        CONNECTION_TIMEOUT_MS,
                        MAX_HEADER_BYTES,
                        MAX_BODY_BYTES);
        openConnections.add(connection);
        connection.start();
    }

    @Override
    public void asked(Inbound from, Message request) {
        callHandler.accept(OperatorCall.decode(from::answer, request));
    }

    @Override
    public void idle(Inbound connection, boolean idle) {}

    @Override
    public void unreadable(BadMessage fault) {}

    @Override
    public void closed(Inbound connection) {
        openConnections.remove(connection);
        listener.acceptOn();
    }
}
