package gingerspool.experiment;

import com.sun.jna.Library;
import com.sun.jna.Native;
import java.io.IOException;

/**
 * Signals that the Java library has no call for. They go straight to the system, so that the moment
 * before and the moment after one lie close to it, however busy the machine is.
 *
 * <p>Thread: any.
 */
final class ProcessSignals {
    // signal.h, as on Linux for x86-64 and aarch64.
    private static final int SIGCONT = 18;
    private static final int SIGSTOP = 19;

    /** The system call that is needed, by its name in the C library. */
    interface SignalCalls extends Library {
        int kill(int process, int signal);
    }

    /** Loaded with the first signal. */
    private static final class Calls {
        static final SignalCalls C = Native.load("c", SignalCalls.class);
    }

    private ProcessSignals() {}

    /** Loads the native library, so that no signal waits for it. */
    static void load() throws IOException {
        try {
            Calls.C.kill(0, 0);
        } catch (LinkageError e) {
            throw new IOException("processes can't be paused on this system: " + e.getMessage(), e);
        }
    }

    /** Takes the processor from a process until it goes on; tells whether it lives. */
    static boolean pause(Process process) {
        return send(process, SIGSTOP);
    }

    /** Has a paused process go on; tells whether it lives. */
    static boolean goOn(Process process) {
        return send(process, SIGCONT);
    }

    private static boolean send(Process process, int signal) {
        return process.isAlive() && Calls.C.kill((int) process.pid(), signal) == 0;
    }
}
