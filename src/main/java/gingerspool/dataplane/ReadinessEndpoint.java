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

/** Where the platform asks whether clients are to come here. */
final class ReadinessEndpoint implements Listener.Owner, Inbound.Handler {
    private static final double PATIENCE = 10_000;
    private static final int MOST = 64;

    private final EventLoop loop;
    private final BooleanSupplier ready;
    private final Listener listener;
    private int open;

    ReadinessEndpoint(EventLoop loop, SocketAddress at, BooleanSupplier ready) throws IOException {
        this.loop = loop;
        this.ready = ready;
        listener = new Listener(loop, at, this);
    }

    void begin() {
        listener.acceptOn();
    }

    @Override
    public boolean hasRoom() {
        return open < MOST;
    }

    @Override
    public void outOfDescriptors() {}

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        open++;
        new Inbound(loop, channel, this, PATIENCE, PATIENCE).start();
    }

    @Override
    public void asked(Inbound from, Message request) {
        boolean known = request.method().equals("GET") && request.target().equals("/v1/readiness");
        from.answer(!known ? 404 : ready.getAsBoolean() ? 200 : 503, List.of(), "");
    }

    @Override
    public void idle(Inbound connection, boolean idle) {}

    @Override
    public void unreadable(BadMessage fault) {}

    @Override
    public void closed(Inbound connection) {
        open--;
        listener.acceptOn();
    }
}
