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

/** Where operators call: reads requests and hands them on as command objects. */
final class OperatorEndpoint implements Listener.Owner, Inbound.Handler {
    private static final double TIMEOUT_MS = 10_000;
    private static final int HEADER_BYTES_MOST = 16 * 1024;
    private static final int BODY_BYTES_MOST = 2 << 20;
    private static final int CONNECTIONS_MOST = 256;

    private final EventLoop loop;
    private final Consumer<OperatorCall> run;
    private final Set<Inbound> open = new HashSet<>();
    private final Listener listener;

    OperatorEndpoint(EventLoop loop, SocketAddress at, Consumer<OperatorCall> run)
            throws IOException {
        this.loop = loop;
        this.run = run;
        listener = new Listener(loop, at, this);
    }

    void begin() {
        listener.acceptOn();
    }

    void end() {
        listener.close();
        open.forEach(connection -> connection.endAfterAnswer(true));
    }

    @Override
    public boolean hasRoom() {
        return open.size() < CONNECTIONS_MOST;
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
                        TIMEOUT_MS,
                        TIMEOUT_MS,
                        HEADER_BYTES_MOST,
                        BODY_BYTES_MOST);
        open.add(connection);
        connection.start();
    }

    @Override
    public void asked(Inbound from, Message request) {
        run.accept(OperatorCall.decode(from::answer, request));
    }

    @Override
    public void idle(Inbound connection, boolean idle) {}

    @Override
    public void unreadable(BadMessage fault) {}

    @Override
    public void closed(Inbound connection) {
        open.remove(connection);
        listener.acceptOn();
    }
}
