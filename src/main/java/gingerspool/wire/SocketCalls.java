package gingerspool.wire;

import com.sun.jna.Library;
import com.sun.jna.Native;
import com.sun.jna.Pointer;
import com.sun.jna.ptr.IntByReference;

/** System calls on sockets that Java does not offer, by their names in the C library. */
interface SocketCalls extends Library {
    /** Loaded with the first call, and only by a process that makes one. */
    final class Loaded {
        static final SocketCalls C = Native.load("c", SocketCalls.class);

        private Loaded() {}
    }

    int getsockopt(int descriptor, int level, int option, IntByReference to, IntByReference n);

    int getsockopt(int descriptor, int level, int option, byte[] to, IntByReference n);

    int setsockopt(int descriptor, int level, int option, Pointer value, int bytes);

    int getsockname(int descriptor, byte[] address, IntByReference bytes);

    int getpeername(int descriptor, byte[] address, IntByReference bytes);

    /** Whether the numbers of options that are used here are those of this system. */
    static boolean isSupported() {
        String architecture = System.getProperty("os.arch");
        return System.getProperty("os.name").equals("Linux")
                && (architecture.equals("amd64") || architecture.equals("aarch64"));
    }
}
