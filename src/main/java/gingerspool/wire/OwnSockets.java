package gingerspool.wire;

import com.sun.jna.ptr.IntByReference;
import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.IntPredicate;

/**
 * The sockets of this process by their descriptors, which Java does not tell.
 *
 * <p>Thread: any; a search blocks for as long as some system calls for each descriptor take.
 */
final class OwnSockets {
    static final int NONE = -1;

    private static final Path OWN_DESCRIPTORS = Path.of("/proc/self/fd");
    private static final String SOCKET_LINK = "socket:";

    /** Room for a sockaddr of either family; the port stands in its third and fourth byte. */
    private static final int ADDRESS_BYTES = 128;

    private static final int PORT_OFFSET = 2;

    private OwnSockets() {}

    /** A socket for which this holds, or NONE. */
    static int find(IntPredicate isWanted) {
        try (DirectoryStream<Path> all = Files.newDirectoryStream(OWN_DESCRIPTORS)) {
            for (Path entry : all) {
                int descriptor = Integer.parseInt(entry.getFileName().toString());
                if (isSocket(entry) && isWanted.test(descriptor)) {
                    return descriptor;
                }
            }
        } catch (IOException e) {
            return NONE;
        }
        return NONE;
    }

    /** A descriptor may be closed while the folder is read: it is then no socket. */
    private static boolean isSocket(Path entry) {
        try {
            return Files.readSymbolicLink(entry).toString().startsWith(SOCKET_LINK);
        } catch (IOException e) {
            return false;
        }
    }

    /** The port that this socket is bound to, or NONE. */
    static int localPort(int descriptor) {
        byte[] address = new byte[ADDRESS_BYTES];
        IntByReference size = new IntByReference(ADDRESS_BYTES);
        boolean isKnown = SocketCalls.Loaded.C.getsockname(descriptor, address, size) == 0;
        return isKnown ? port(address) : NONE;
    }

    /** The port of the other side of this connection, or NONE. */
    static int remotePort(int descriptor) {
        byte[] address = new byte[ADDRESS_BYTES];
        IntByReference size = new IntByReference(ADDRESS_BYTES);
        boolean isKnown = SocketCalls.Loaded.C.getpeername(descriptor, address, size) == 0;
        return isKnown ? port(address) : NONE;
    }

    private static int port(byte[] address) {
        return Byte.toUnsignedInt(address[PORT_OFFSET]) << Byte.SIZE
                | Byte.toUnsignedInt(address[PORT_OFFSET + 1]);
    }
}
