package gingerspool.wire;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/**
 * A listening socket in memory, as the Java runtime keeps one on Linux: connections wait in a queue
 * of the kernel's; an accept under way takes the next one at once, on a thread of the runtime's,
 * and its end waits for a turn of the loop. Closing resets all that is still in the queue.
 */
public final class ModelServerChannel extends AsynchronousServerSocketChannel {
    private final ModelChannelLoop loop;
    private final Deque<ModelSocketChannel> queue = new ArrayDeque<>();
    private Runnable whenQueued;
    private Runnable whenClosed;
    private boolean open = true;
    private boolean starved;

    /** Connections that were reset by the close. */
    public final List<ModelSocketChannel> reset = new ArrayList<>();

    ModelServerChannel(ModelChannelLoop loop) {
        super(null);
        this.loop = loop;
    }

    /** A client's handshake is over; the client may write from now on. */
    public ModelSocketChannel arrive(int port) {
        ModelSocketChannel client =
                new ModelSocketChannel(
                        loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        if (!open) {
            reset.add(client);
            return client;
        }
        queue.add(client);
        takeNext();
        return client;
    }

    /** The runtime's threads get no processor: nothing is accepted. */
    public void starve(boolean is) {
        starved = is;
        takeNext();
    }

    private void takeNext() {
        if (whenQueued != null && !queue.isEmpty() && !starved) {
            Runnable accept = whenQueued;
            whenQueued = null;
            whenClosed = null;
            accept.run();
        }
    }

    @Override
    public <A> void accept(
            A attachment, CompletionHandler<AsynchronousSocketChannel, ? super A> h) {
        whenQueued =
                () -> {
                    ModelSocketChannel next = queue.poll();
                    loop.complete(() -> h.completed(next, attachment));
                };
        whenClosed =
                () -> loop.complete(() -> h.failed(new AsynchronousCloseException(), attachment));
        loop.begin(this::takeNext);
    }

    @Override
    public Future<AsynchronousSocketChannel> accept() {
        CompletableFuture<AsynchronousSocketChannel> end = new CompletableFuture<>();
        whenQueued = () -> end.complete(queue.poll());
        whenClosed = () -> end.completeExceptionally(new AsynchronousCloseException());
        takeNext();
        return end;
    }

    @Override
    public void close() {
        if (!open) {
            return;
        }
        open = false;
        reset.addAll(queue);
        queue.clear();
        if (whenClosed != null) {
            whenClosed.run();
        }
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public SocketAddress getLocalAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    }

    @Override
    public AsynchronousServerSocketChannel bind(SocketAddress at, int backlog) {
        return this;
    }

    @Override
    public <T> AsynchronousServerSocketChannel setOption(SocketOption<T> name, T value) {
        return this;
    }

    @Override
    public <T> T getOption(SocketOption<T> name) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
        return Set.of();
    }
}
