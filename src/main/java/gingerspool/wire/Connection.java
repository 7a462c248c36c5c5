package gingerspool.wire;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.concurrent.Future;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One TCP connection: its channel, the one buffer that is read into, and one alarm. close() gives
 * all back. Every callback comes in a turn of its own, also where an operation was done at once.
 */
abstract class Connection {
    private static final Logger LOG = LoggerFactory.getLogger(Connection.class);
    private static final int FIRST = 2048;
    private static final int MOST = 32 * 1024;

    /** The largest buffer of this connection: what is taken only whole must fit. */
    private int most;

    final EventLoop loop;
    private final AsynchronousSocketChannel channel;

    /** What was read: from start to its position. */
    private ByteBuffer buffer = ByteBuffer.allocate(FIRST);

    private int start;
    private boolean reading;

    /** Nothing that is yet to be read can have come before this. */
    private double emptyAt;

    private boolean open = true;

    /** What is being written, and what comes after it. */
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();

    private Future<?> alarm;

    private final CompletionHandler<Integer, Void> reads;
    private final CompletionHandler<Integer, Void> writes;

    Connection(EventLoop loop, AsynchronousSocketChannel channel) {
        this(loop, channel, MOST);
    }

    Connection(EventLoop loop, AsynchronousSocketChannel channel, int most) {
        this.loop = loop;
        this.most = most;
        this.channel = channel;
        emptyAt = loop.now();
        reads = handler(this::read);
        writes = handler(this::written);
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            LOG.atDebug().addKeyValue("why", e.getMessage()).log("connection.no_delay");
        }
    }

    /** From now on the buffer may grow to so many bytes. */
    final void most(int bytes) {
        most = bytes;
    }

    /** The peer may have written since then, though the connection is taken only now. */
    public final void mayHoldSince(double time) {
        emptyAt = Math.min(emptyAt, time);
    }

    /**
     * The earliest time at which what was read last may have come: a loop that was late, or an
     * accept that waited, reads it later than that. In milliseconds on the loop's clock.
     */
    public final double arrivedFrom() {
        return emptyAt;
    }

    /** An operation's end becomes a turn; a failure counts as -1 bytes. */
    private CompletionHandler<Integer, Void> handler(IntConsumer then) {
        return Completions.onTurn(loop, bytes -> guarded(() -> then.accept(bytes)));
    }

    /** Guards the loop: what breaks in here costs this connection only. */
    private void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("connection.broke");
            close();
        }
    }

    // ---- What a kind of connection adds ----

    /** Takes what it can of these bytes and returns how many. */
    abstract int received(byte[] bytes, int from, int to);

    /** All that was to be written is. */
    abstract void sent();

    /** It is closed, by whomever; nothing else is called after this. */
    abstract void closed(boolean allWritten);

    // ---- Connecting, reading, writing ----

    final void connect(SocketAddress to, double within, Runnable up) {
        alarm(within, this::close);
        channel.connect(to, null, handlerOfConnect(up));
    }

    private CompletionHandler<Void, Void> handlerOfConnect(Runnable up) {
        return new CompletionHandler<>() {
            @Override
            public void completed(Void nothing, Void none) {
                loop.execute(
                        () ->
                                guarded(
                                        () -> {
                                            if (open) {
                                                alarm(0, null);
                                                up.run();
                                                readOn();
                                            }
                                        }));
            }

            @Override
            public void failed(Throwable why, Void none) {
                loop.execute(Connection.this::close);
            }
        };
    }

    /** Reads whenever there is room; a full buffer waits until something of it is taken. */
    final void readOn() {
        if (!open || reading) {
            return;
        }
        makeRoom();
        if (buffer.hasRemaining()) {
            reading = true;
            channel.read(buffer, null, reads);
        }
    }

    private void makeRoom() {
        int held = buffer.position() - start;
        if (held == 0 && buffer.capacity() > FIRST) {
            buffer = ByteBuffer.allocate(FIRST);
        } else if (held == buffer.capacity() && held < most) {
            ByteBuffer wider = ByteBuffer.allocate(2 * held);
            buffer = wider.put(buffer.array(), 0, held);
        } else if (start > 0) {
            System.arraycopy(buffer.array(), start, buffer.array(), 0, held);
            buffer.position(held);
        }
        start = 0;
    }

    private void read(int bytes) {
        reading = false;
        emptyAt = Math.max(emptyAt, loop.noticedAt());
        if (open && bytes < 0) {
            close();
        } else if (open) {
            takeIn();
            readOn();
        }
    }

    /** Offers what was read. */
    final void takeIn() {
        int taken = 1;
        while (open && taken > 0 && start < buffer.position()) {
            taken = received(buffer.array(), start, buffer.position());
            start += taken;
        }
    }

    /** Writes this after what is being written. */
    final void write(byte[] bytes) {
        if (open) {
            unsent.add(ByteBuffer.wrap(bytes));
            if (unsent.size() == 1) {
                channel.write(unsent.peek(), null, writes);
            }
        }
    }

    private void written(int bytes) {
        if (!unsent.peek().hasRemaining()) {
            unsent.poll();
        }
        if (!open) {
            // Only now is it known how far the writing came: an outcome of "never ran" hangs on
            // this.
            closed(unsent.isEmpty());
        } else if (bytes < 0) {
            boolean cut = !unsent.isEmpty();
            close();
            if (cut) {
                // Guards against links that are never given back: no other write will tell of the
                // end.
                closed(false);
            }
        } else if (unsent.isEmpty()) {
            sent();
        } else {
            channel.write(unsent.peek(), null, writes);
        }
    }

    /** Says that nothing more will be written; what still comes is for received() to throw away. */
    final void endOutput() {
        try {
            channel.shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    // ---- Time and the end ----

    /** Sets the one alarm anew; a span of 0 takes it back. */
    final void alarm(double span, Runnable then) {
        if (alarm != null) {
            alarm.cancel(false);
            alarm = null;
        }
        if (open && span > 0) {
            alarm = loop.schedule(span, then);
        }
    }

    final boolean isOpen() {
        return open;
    }

    /** The one place where a connection is given back. */
    public final void close() {
        if (!open) {
            return;
        }
        alarm(0, null);
        open = false;
        try {
            channel.close();
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("why", e.getMessage()).log("connection.close_failed");
        }
        if (unsent.isEmpty()) {
            closed(true);
        }
    }
}
