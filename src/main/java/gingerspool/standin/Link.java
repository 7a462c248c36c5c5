package gingerspool.standin;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Completions;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Message;
import gingerspool.wire.ReceiveTimes;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;
import java.util.concurrent.Future;

/**
 * A connection that came to a stand-in: reads requests, writes answers, and fails in each way on
 * purpose.
 */
final class Link {
    /** Who serves it. */
    interface Server {
        /** A whole request; its first byte came at that time (ms). */
        void asked(Link link, Message request, double firstByteAt);

        /** How many bytes are read before it is reset, or -1. */
        int resetAfter();

        /** It was reset in the middle of a request. */
        void reset();

        void closed(Link link);
    }

    private static final int ROOM = 16 * 1024;

    private final EventLoop loop;
    private final AsynchronousSocketChannel channel;
    private final Server server;
    private ByteBuffer buffer = ByteBuffer.allocate(ROOM);
    private Message message = Message.request();
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private double firstByteAt = Double.NaN;
    private int received;
    private int resetAfter = -1;
    private int cutAfter = -1;
    private boolean open = true;
    private boolean silent;
    private boolean busy;
    private boolean writing;
    private boolean reading;
    private boolean last;
    private Future<?> idle;

    /** Null until they are asked for. */
    private ReceiveTimes receiveTimes;

    /** How many requests came on it. */
    int requests;

    Link(EventLoop loop, AsynchronousSocketChannel channel, Server server) {
        this.loop = loop;
        this.channel = channel;
        this.server = server;
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        } catch (IOException e) {
            close();
        }
    }

    void start() {
        readOn();
    }

    private void readOn() {
        if (open && !silent && !reading && !busy) {
            reading = true;
            resetAfter = received == 0 ? server.resetAfter() : resetAfter;
            // What is left unread makes the system end the connection with a reset, as a process
            // that dies
            // does.
            int most = resetAfter < 0 ? buffer.capacity() : Math.max(1, resetAfter - received);
            buffer.limit(Math.min(buffer.capacity(), buffer.position() + most));
            channel.read(buffer, null, Completions.onTurn(loop, this::read));
        }
    }

    private void read(int bytes) {
        reading = false;
        buffer.limit(buffer.capacity());
        if (!open || silent) {
            return;
        }
        if (bytes < 0) {
            close();
            return;
        }
        if (Double.isNaN(firstByteAt)) {
            firstByteAt = loop.now();
        }
        received += bytes;
        if (resetAfter >= 0 && received >= resetAfter) {
            server.reset();
            close();
            return;
        }
        takeIn();
        readOn();
    }

    private void takeIn() {
        try {
            int taken = message.take(buffer.array(), 0, buffer.position());
            int left = buffer.position() - taken;
            System.arraycopy(buffer.array(), taken, buffer.array(), 0, left);
            buffer.position(left);
            if (left == buffer.capacity()) {
                buffer = ByteBuffer.allocate(2 * left).put(buffer.array(), 0, left);
            }
            if (message.done()) {
                Message whole = message;
                message = Message.request();
                busy = true;
                last = !whole.keepsAlive();
                requests++;
                closeIdle(0);
                double at = firstByteAt;
                firstByteAt = Double.NaN;
                received = 0;
                server.asked(this, whole, at);
            }
        } catch (BadMessage e) {
            close();
        }
    }

    /**
     * When its last bytes came to this machine, in the loop's time, however late they are read; NaN
     * where that is not known.
     */
    double lastBytesAt() {
        if (!open) {
            return Double.NaN;
        }
        try {
            receiveTimes = receiveTimes == null ? ReceiveTimes.of(channel) : receiveTimes;
            return loop.now() - receiveTimes.sinceLast();
        } catch (IOException e) {
            return Double.NaN;
        }
    }

    /** From its next answer on it ends after so many bytes. */
    void cutAnswerAfter(int bytes) {
        cutAfter = bytes;
    }

    /** Answers the request at hand; then the next one may come. */
    void answer(byte[] whole) {
        if (!open) {
            return;
        }
        if (cutAfter >= 0 && cutAfter < whole.length) {
            send(java.util.Arrays.copyOf(whole, cutAfter));
            // The bytes must be on their way before the end.
            loop.schedule(5, this::close);
            return;
        }
        busy = false;
        send(whole);
        if (buffer.position() > 0 && !last) {
            takeIn();
        }
        readOn();
    }

    /** Writes more, as part of an answer that goes on. */
    void send(byte[] bytes) {
        if (open && bytes.length > 0) {
            unsent.add(ByteBuffer.wrap(bytes));
            writeOn();
        }
    }

    private void writeOn() {
        if (open && !silent && !writing && !unsent.isEmpty()) {
            writing = true;
            channel.write(unsent.peek(), null, Completions.onTurn(loop, this::written));
        }
    }

    private void written(int bytes) {
        writing = false;
        if (bytes < 0) {
            close();
            return;
        }
        if (!unsent.isEmpty() && !unsent.peek().hasRemaining()) {
            unsent.poll();
        }
        if (unsent.isEmpty() && last && !busy) {
            close();
        } else {
            writeOn();
        }
    }

    /** Closes it if nothing comes on it for so long; 0 takes that back. */
    void closeIdle(double span) {
        if (idle != null) {
            idle.cancel(false);
            idle = null;
        }
        if (open && span > 0) {
            idle = loop.schedule(span, this::close);
        }
    }

    /** From now on it says nothing and hears nothing, and stays open. */
    void silence() {
        silent = true;
    }

    boolean isSilent() {
        return silent;
    }

    boolean isOpen() {
        return open;
    }

    void close() {
        if (!open) {
            return;
        }
        closeIdle(0);
        open = false;
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing is left to give back.
        }
        server.closed(this);
    }

    /** An answer as bytes. */
    static byte[] message(int status, String fields, String body) {
        byte[] text = body.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        byte[] head =
                ("HTTP/1.1 "
                                + status
                                + " Status\r\n"
                                + fields
                                + "Content-Length: "
                                + text.length
                                + "\r\n\r\n")
                        .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(head, head.length + text.length);
        System.arraycopy(text, 0, all, head.length, text.length);
        return all;
    }
}
