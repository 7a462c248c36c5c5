package gingerspool.load;

import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.Future;
import java.util.function.Supplier;

/**
 * A client's connection: one request at a time; notices what comes after an answer, which nothing
 * may.
 */
final class Client {
    /** Whose connection it is. */
    interface Owner {
        /** The whole answer to the request at hand, and when its end was read in Unix ms. */
        void answered(Client client, Message answer, double at);

        /**
         * It ended without one; tells whether the request had been written whole, whether it was
         * ever up, and when its end was read, or else came about, in Unix ms.
         */
        void broke(Client client, boolean written, boolean up, double at);

        /** The request at hand was not sent, since its time was over when the connection was up. */
        default void tooLate(Client client) {}

        /** Something came that no request is owed. */
        void extra(Client client);
    }

    final int scheduler;
    private final EventLoop loop;
    private final Arrivals arrivals;
    private final AsynchronousSocketChannel channel;
    private final Owner owner;
    private final ByteBuffer buffer = ByteBuffer.allocate(16 * 1024);
    private Message answer;
    private ByteBuffer unsent;

    /** Makes the request at hand when it can be written; null once it has been. */
    private Supplier<byte[]> pending;

    private boolean up;
    private boolean open = true;
    private Future<?> alarm;

    /** What it carries, for its owner. */
    Load.Try carries;

    /** The last one that it carried. */
    Load.Try carried;

    int requests;

    Client(EventLoop loop, Arrivals arrivals, int scheduler, InetSocketAddress to, Owner owner)
            throws IOException {
        this.loop = loop;
        this.arrivals = arrivals;
        this.scheduler = scheduler;
        this.owner = owner;
        channel = arrivals.channel();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.connect(
                to,
                null,
                new CompletionHandler<Void, Void>() {
                    @Override
                    public void completed(Void nothing, Void none) {
                        loop.execute(Client.this::connected);
                    }

                    @Override
                    public void failed(Throwable why, Void none) {
                        loop.execute(Client.this::end);
                    }
                });
    }

    private void connected() {
        if (!open) {
            return;
        }
        up = true;
        if (pending != null) {
            writePending();
        } else if (unsent != null) {
            channel.write(unsent, null, arrivals.onTurn(this::written));
        }
        channel.read(buffer, null, arrivals.onTurn(this::read));
    }

    boolean isOpen() {
        return open;
    }

    /**
     * Sends this request, made when it can be written, since it tells how much time is left; null
     * stands for none. The connection ends if no answer has come within so long.
     */
    void ask(Supplier<byte[]> request, double patience) {
        answer = Message.answer(null);
        pending = request;
        requests++;
        alarm(patience, this::end);
        if (up) {
            writePending();
        }
    }

    private void writePending() {
        byte[] request = pending.get();
        pending = null;
        if (request != null) {
            send(request);
        } else {
            answer = null;
            requests--;
            alarm(0, null);
            owner.tooLate(this);
        }
    }

    /** Writes bytes of any sort. */
    void send(byte[] bytes) {
        unsent = ByteBuffer.wrap(bytes);
        if (up) {
            channel.write(unsent, null, arrivals.onTurn(this::written));
        }
    }

    void alarm(double span, Runnable then) {
        if (alarm != null) {
            alarm.cancel(false);
        }
        alarm = open && span > 0 ? loop.schedule(span, then) : null;
    }

    private void written(int bytes, double at) {
        if (bytes < 0) {
            end(at);
        } else if (open && unsent.hasRemaining()) {
            channel.write(unsent, null, arrivals.onTurn(this::written));
        }
    }

    private void read(int bytes, double at) {
        if (!open) {
            return;
        }
        if (bytes < 0) {
            Message whole = answer;
            if (whole != null && whole.headRead() && whole.endsWithClose()) {
                answer = null;
                owner.answered(this, whole, at);
            }
            end(at);
            return;
        }
        int taken = 0;
        try {
            while (taken < buffer.position()) {
                if (answer == null) {
                    owner.extra(this);
                    end(at);
                    return;
                }
                int more = answer.take(buffer.array(), taken, buffer.position());
                taken += more;
                if (answer.done()) {
                    Message whole = answer;
                    answer = null;
                    alarm(0, null);
                    boolean isExtra = taken < buffer.position();
                    if (isExtra) {
                        owner.extra(this);
                    }
                    owner.answered(this, whole, at);
                    if (!whole.keepsAlive() || isExtra) {
                        end(at);
                        return;
                    }
                } else if (more == 0) {
                    break;
                }
            }
        } catch (BadMessage e) {
            end(at);
            return;
        }
        int left = buffer.position() - taken;
        System.arraycopy(buffer.array(), taken, buffer.array(), 0, left);
        buffer.position(left);
        channel.read(buffer, null, arrivals.onTurn(this::read));
    }

    /** Ends it now. */
    void end() {
        end(loop.now());
    }

    /** The one place where it is given back. */
    private void end(double at) {
        if (!open) {
            return;
        }
        alarm(0, null);
        open = false;
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing is left to give back.
        }
        owner.broke(this, up && (unsent == null || !unsent.hasRemaining()), up, at);
    }
}
