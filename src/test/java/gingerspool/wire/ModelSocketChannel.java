package gingerspool.wire;

import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A connection in memory. What its peer says is read by a thread of the runtime's as soon as a read
 * is under way, and the end of that waits for a turn of the loop; until then the kernel keeps it.
 * Closing with something unread resets the connection.
 */
public final class ModelSocketChannel extends AsynchronousSocketChannel {
    private final ModelChannelLoop loop;
    private final SocketAddress remote;
    private final Deque<byte[]> unread = new ArrayDeque<>();
    private Consumer<byte[]> reader;
    private boolean open = true;
    private boolean starved;
    private boolean reset;

    /** What the process has answered. */
    public final StringBuilder answered = new StringBuilder();

    ModelSocketChannel(ModelChannelLoop loop, SocketAddress remote) {
        super(null);
        this.loop = loop;
        this.remote = remote;
    }

    /** The peer sends this; whatever comes after a close is lost. */
    public void say(String text) {
        if (open) {
            unread.add(text.getBytes(StandardCharsets.ISO_8859_1));
            readNext();
        }
    }

    /** The runtime's threads get no processor: nothing is read. */
    public void starve(boolean is) {
        starved = is;
        readNext();
    }

    /** Whether it was closed with something unread, so that the peer's request is lost. */
    public boolean wasReset() {
        return reset;
    }

    private void readNext() {
        if (reader != null && !unread.isEmpty() && !starved) {
            Consumer<byte[]> now = reader;
            reader = null;
            now.accept(unread.poll());
        }
    }

    @Override
    public <A> void read(
            ByteBuffer to, long t, TimeUnit u, A a, CompletionHandler<Integer, ? super A> h) {
        reader =
                bytes -> {
                    to.put(bytes);
                    loop.complete(() -> h.completed(bytes.length, a));
                };
        loop.begin(this::readNext);
    }

    @Override
    public <A> void write(
            ByteBuffer from, long t, TimeUnit u, A a, CompletionHandler<Integer, ? super A> h) {
        int bytes = from.remaining();
        answered.append(StandardCharsets.ISO_8859_1.decode(from));
        loop.begin(() -> loop.complete(() -> h.completed(bytes, a)));
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return remote;
    }

    @Override
    public <T> AsynchronousSocketChannel setOption(SocketOption<T> name, T value) {
        return this;
    }

    @Override
    public void close() {
        reset |= open && !unread.isEmpty();
        open = false;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public AsynchronousSocketChannel bind(SocketAddress local) {
        throw new UnsupportedOperationException();
    }

    @Override
    public <T> T getOption(SocketOption<T> name) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
        return Set.of();
    }

    @Override
    public AsynchronousSocketChannel shutdownInput() {
        throw new UnsupportedOperationException();
    }

    @Override
    public AsynchronousSocketChannel shutdownOutput() {
        return this;
    }

    @Override
    public <A> void connect(SocketAddress to, A a, CompletionHandler<Void, ? super A> h) {
        loop.complete(() -> h.completed(null, a));
    }

    @Override
    public Future<Void> connect(SocketAddress to) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Future<Integer> read(ByteBuffer to) {
        throw new UnsupportedOperationException();
    }

    @Override
    public <A> void read(
            ByteBuffer[] to,
            int from,
            int n,
            long t,
            TimeUnit u,
            A a,
            CompletionHandler<Long, ? super A> h) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Future<Integer> write(ByteBuffer from) {
        throw new UnsupportedOperationException();
    }

    @Override
    public <A> void write(
            ByteBuffer[] from,
            int first,
            int n,
            long t,
            TimeUnit u,
            A a,
            CompletionHandler<Long, ? super A> h) {
        throw new UnsupportedOperationException();
    }

    @Override
    public SocketAddress getLocalAddress() {
        throw new UnsupportedOperationException();
    }
}
