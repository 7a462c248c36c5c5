package gingerspool.standin;

import gingerspool.wire.EventLoop;
import gingerspool.wire.Listener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** A stand-in's listening socket on the loopback address, as long as its owner has room. */
record Acceptor(BooleanSupplier room, Consumer<AsynchronousSocketChannel> take)
        implements Listener.Owner {
    /** Listens at this port, 0 for one that the system chooses. */
    static Listener at(
            EventLoop loop,
            int port,
            BooleanSupplier room,
            Consumer<AsynchronousSocketChannel> take)
            throws IOException {
        return new Listener(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                new Acceptor(room, take));
    }

    @Override
    public boolean hasRoom() {
        return room.getAsBoolean();
    }

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        take.accept(channel);
    }
}
