package gingerspool.wire;

import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A connection in memory. What its client says is read at once by a thread of the runtime's, and
 * the end of that waits for a turn of the loop; until it is to be read the kernel keeps it.
 */
public final class ModelSocketChannel extends AsynchronousSocketChannel {
    private final ModelChannelLoop loop;
    private final SocketAddress remote;
    private Consumer<byte[]> reader;
    private String unread = "";
    private boolean open = true;

    /** What the process has answered. */
    public final StringBuilder answered = new StringBuilder();

    ModelSocketChannel(ModelChannelLoop loop, SocketAddress remote) {
        super(null);
        this.loop = loop;
        this.remote = remote;
    }

    /** The client sends this; whatever comes after a close is lost. */
    public void say(String text) {
        unread += open ? text : "";
        readNext();
    }

    private void readNext() {
        if (reader != null && !unread.isEmpty()) {
            Consumer<byte[]> now = reader;
            byte[] bytes = unread.getBytes(StandardCharsets.ISO_8859_1);
            reader = null;
            unread = "";
            now.accept(bytes);
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
        readNext();
    }

    @Override
    public <A> void write(
            ByteBuffer from, long t, TimeUnit u, A a, CompletionHandler<Integer, ? super A> h) {
        int bytes = from.remaining();
        answered.append(StandardCharsets.ISO_8859_1.decode(from));
        loop.complete(() -> h.completed(bytes, a));
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
        throw new UnsupportedOperationException();
    }

    @Override
    public <A> void connect(SocketAddress to, A a, CompletionHandler<Void, ? super A> h) {
        throw new UnsupportedOperationException();
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
