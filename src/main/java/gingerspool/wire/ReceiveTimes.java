package gingerspool.wire;

import com.sun.jna.ptr.IntByReference;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;

/**
 * When the kernel last received data on a connection, however late the process comes to read it.
 * Between two processes of one machine that is when the other one sent it.
 *
 * <p>Thread: one at a time. Whoever owns the channel closes it no sooner than the last call here,
 * since its descriptor may then be another's.
 */
public final class ReceiveTimes {
    // netinet/tcp.h: TCP_INFO, and where tcpi_last_data_recv stands in it.
    private static final int IPPROTO_TCP = 6;
    private static final int TCP_INFO = 11;
    private static final int LAST_DATA_RECEIVED_OFFSET = 52;
    private static final int INFO_BYTES = LAST_DATA_RECEIVED_OFFSET + Integer.BYTES;

    private final int descriptor;

    private ReceiveTimes(int descriptor) {
        this.descriptor = descriptor;
    }

    /** Loads the native library, which takes as long as some hundred of the calls here. */
    public static void load() {
        if (SocketCalls.isSupported()) {
            OwnSockets.localPort(OwnSockets.NONE);
        }
    }

    /** Those of this channel, which is connected over IP. */
    public static ReceiveTimes of(AsynchronousSocketChannel channel) throws IOException {
        if (!SocketCalls.isSupported()) {
            return new ReceiveTimes(OwnSockets.NONE);
        }
        int local = ((InetSocketAddress) channel.getLocalAddress()).getPort();
        int remote = ((InetSocketAddress) channel.getRemoteAddress()).getPort();
        return new ReceiveTimes(
                OwnSockets.find(
                        descriptor ->
                                OwnSockets.localPort(descriptor) == local
                                        && OwnSockets.remotePort(descriptor) == remote));
    }

    /**
     * How long ago the last data came, in milliseconds, to the kernel's resolution of up to 10 ms;
     * NaN where the system does not say.
     */
    public double sinceLast() {
        byte[] info = new byte[INFO_BYTES];
        IntByReference size = new IntByReference(INFO_BYTES);
        boolean isKnown =
                descriptor != OwnSockets.NONE
                        && SocketCalls.Loaded.C.getsockopt(
                                        descriptor, IPPROTO_TCP, TCP_INFO, info, size)
                                == 0
                        && size.getValue() == INFO_BYTES;
        return isKnown ? littleEndian(info, LAST_DATA_RECEIVED_OFFSET) : Double.NaN;
    }

    /** The supported systems are of this byte order. */
    private static long littleEndian(byte[] bytes, int at) {
        long value = 0;
        for (int i = Integer.BYTES - 1; i >= 0; i--) {
            value = value << Byte.SIZE | Byte.toUnsignedInt(bytes[at + i]);
        }
        return value;
    }
}
