package gingerspool.wire;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The listening socket: accepts while its owner has room. */
public final class Listener implements CompletionHandler<AsynchronousSocketChannel, Void> {
    private static final Logger LOG = LoggerFactory.getLogger(Listener.class);
    private static final int BACKLOG = 1024;

    /** How long it waits after an accept that failed, as when there is no descriptor left. */
    private static final double PAUSE = 100;

    private static final String OUT_OF_DESCRIPTORS = "Too many open files";

    /** Who takes the connections. */
    public interface Owner {
        default boolean hasRoom() {
            return true;
        }

        /** The process holds all the descriptors that it may. */
        default void outOfDescriptors() {}

        void accepted(AsynchronousSocketChannel channel);
    }

    private final EventLoop loop;
    private final Owner owner;
    private final AsynchronousServerSocketChannel channel;
    private boolean accepting;
    private boolean retiring;

    /** Listens at once, alone at its address. */
    public Listener(EventLoop loop, SocketAddress at, Owner owner) throws IOException {
        this(loop, at, false, owner);
    }

    /** Listens at once; where shared, other processes may listen at the same address beside it. */
    public Listener(EventLoop loop, SocketAddress at, boolean shared, Owner owner)
            throws IOException {
        this.loop = loop;
        this.owner = owner;
        channel = AsynchronousServerSocketChannel.open(loop.group());
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.bind(at, BACKLOG);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    public SocketAddress address() throws IOException {
        return channel.getLocalAddress();
    }

    public boolean isOpen() {
        return channel.isOpen();
    }

    /** Goes on accepting, if it does not and there is room. */
    public void acceptOn() {
        // Making room may close a connection, which asks for this again: so the mark is looked at
        // last.
        if (channel.isOpen() && owner.hasRoom() && !accepting) {
            accepting = true;
            channel.accept(null, this);
        }
    }

    @Override
    public void completed(AsynchronousSocketChannel accepted, Void none) {
        loop.execute(
                () -> {
                    accepting = false;
                    owner.accepted(accepted);
                    if (retiring) {
                        emptyAndClose();
                    }
                    acceptOn();
                });
    }

    @Override
    public void failed(Throwable why, Void none) {
        loop.execute(
                () -> {
                    if (channel.isOpen()) {
                        LOG.atWarn()
                                .addKeyValue("why", why.getMessage())
                                .log("listener.accept_failed");
                        if (OUT_OF_DESCRIPTORS.equals(why.getMessage())) {
                            owner.outOfDescriptors();
                        }
                        loop.schedule(
                                PAUSE,
                                () -> {
                                    accepting = false;
                                    acceptOn();
                                });
                    }
                });
    }

    /**
     * Another process listens here too: takes what still waits, then closes. Guards the clients:
     * closing resets what waits, so it closes at the moment when nothing does.
     */
    public void retire() {
        retiring = true;
        if (!accepting) {
            emptyAndClose();
        }
        // An accept that is under way ends with the next client; none may come.
        loop.schedule(PAUSE, this::close);
    }

    private void emptyAndClose() {
        try {
            while (channel.isOpen()) {
                Future<AsynchronousSocketChannel> next = channel.accept();
                if (!next.isDone()) {
                    close();
                    return;
                }
                owner.accepted(next.get());
            }
        } catch (ExecutionException | InterruptedException e) {
            LOG.atWarn().addKeyValue("why", e.getMessage()).log("listener.accept_failed");
            close();
        }
    }

    public void close() {
        if (!channel.isOpen()) {
            return;
        }
        try {
            channel.close();
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("why", e.getMessage()).log("listener.close_failed");
        }
    }
}
