package gingerspool.wire;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;

/** A held connection between two of our own processes: frames of bytes, each after its length. */
public final class Frames extends Connection {
    private static final int MOST = 4 * 1024 * 1024;
    private static final int HEAD = 4;

    /** Who is told of what comes. */
    public interface Owner {
        /** It is up; only for one that we opened. */
        default void up(Frames link) {}

        void came(Frames link, byte[] frame);

        void closed(Frames link);
    }

    private final Owner owner;

    /** The frame that is coming in, or null between two. */
    private byte[] frame;

    private int held;

    private Frames(EventLoop loop, AsynchronousSocketChannel channel, Owner owner) {
        super(loop, channel);
        this.owner = owner;
    }

    /** One that somebody else opened; it reads at once. */
    public static Frames accepted(EventLoop loop, AsynchronousSocketChannel channel, Owner owner) {
        Frames made = new Frames(loop, channel, owner);
        made.readOn();
        return made;
    }

    /** Starts to connect; fails at once only where there is no descriptor left. */
    public static Frames open(EventLoop loop, SocketAddress to, double within, Owner owner)
            throws IOException {
        Frames made = new Frames(loop, loop.channel(), owner);
        made.connect(to, within, () -> owner.up(made));
        return made;
    }

    public void send(byte[] bytes) {
        sendFrame(frame(bytes));
    }

    /** The frame of these bytes, which may be sent on several links. */
    public static byte[] frame(byte[] bytes) {
        return ByteBuffer.allocate(HEAD + bytes.length).putInt(bytes.length).put(bytes).array();
    }

    /** Sends what frame() made; it is not copied, so nobody may write to it. */
    public void sendFrame(byte[] frame) {
        write(frame);
    }

    @Override
    int received(byte[] b, int from, int to) {
        if (frame == null) {
            if (to - from < HEAD) {
                return 0;
            }
            int length = ByteBuffer.wrap(b, from, HEAD).getInt();
            if (length < 0 || length > MOST) {
                // Guards against strangers: whatever this is, it is none of ours.
                close();
                return to - from;
            }
            frame = new byte[length];
            held = 0;
            deliver();
            return HEAD;
        }
        int n = Math.min(to - from, frame.length - held);
        System.arraycopy(b, from, frame, held, n);
        held += n;
        deliver();
        return n;
    }

    private void deliver() {
        if (held == frame.length) {
            byte[] whole = frame;
            frame = null;
            owner.came(this, whole);
        }
    }

    @Override
    void sent() {}

    @Override
    void closed(boolean allWritten) {
        owner.closed(this);
    }
}
