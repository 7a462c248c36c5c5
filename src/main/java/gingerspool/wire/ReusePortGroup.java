package gingerspool.wire;

import com.sun.jna.Memory;
import com.sun.jna.ptr.IntByReference;
import java.net.Inet4Address;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The sockets that listen at one port with SO_REUSEPORT, in whichever processes. Linux keeps them
 * as a group with numbered members and shares new connections out among them by a hash; a member
 * may be selected instead, which then gets all of them. A selected number without a member leaves
 * the choice to the hash.
 *
 * <p>Thread: any; the calls block for as long as a few system calls take. The first one loads the
 * native library.
 */
final class ReusePortGroup {
    // asm-generic/socket.h, as on x86-64 and aarch64.
    private static final int SOL_SOCKET = 1;
    private static final int SO_REUSEPORT = 15;
    private static final int SO_ACCEPTCONN = 30;
    private static final int SO_ATTACH_REUSEPORT_CBPF = 51;
    private static final int SO_DETACH_REUSEPORT_BPF = 68;

    /** linux/filter.h: "load two bytes", "go on if equal", "return this constant". */
    private static final short LOAD_TWO_BYTES = 0x28;

    private static final short JUMP_IF_EQUAL = 0x15;
    private static final short RETURN_CONSTANT = 0x06;

    /** Offsets from here on count from the packet's network header. */
    private static final int NETWORK_HEADER = -0x100000;

    private static final int IPV4_HEADER_BYTES = 20;
    private static final int IPV6_HEADER_BYTES = 40;
    private static final int INSTRUCTION_BYTES = 8;
    private static final int JUMP_ELSE_OFFSET = 3;
    private static final int CONSTANT_OFFSET = 4;
    private static final int PROGRAM_BYTES = 16;
    private static final int PROGRAM_POINTER_OFFSET = 8;

    /** Stands for no member: the hash chooses. */
    static final int BY_HASH = -1;

    private ReusePortGroup() {}

    /** One instruction of a filter. */
    private record Instruction(short code, int jumpElse, int constant) {}

    /** The connection from this address goes to this member. */
    record Route(InetSocketAddress from, int member) {}

    /**
     * Loads the native library, which takes as long as some hundred of the calls that need it.
     *
     * @throws LinkageError where there is none for this system
     */
    static void load() {
        if (SocketCalls.isSupported()) {
            isSet(0, SO_ACCEPTCONN);
        }
    }

    /** Has all new connections at this port go to one member; tells whether the system did it. */
    static boolean select(int port, int member) {
        return attach(port, List.of(new Instruction(RETURN_CONSTANT, 0, member)));
    }

    /**
     * Has the connections from some addresses, all of one family, go each to its member, and all
     * others to another member or, with BY_HASH, to any; tells whether the system did it.
     */
    static boolean selectFor(List<Route> routes, int port, int others) {
        List<Instruction> filter = new ArrayList<>();
        // The source port is the first field of the header behind the network's.
        int sourcePort = NETWORK_HEADER + headerBytes(routes.get(0).from());
        filter.add(new Instruction(LOAD_TWO_BYTES, 0, sourcePort));
        for (Route route : routes) {
            filter.add(new Instruction(JUMP_IF_EQUAL, 1, route.from().getPort()));
            filter.add(new Instruction(RETURN_CONSTANT, 0, route.member()));
        }
        filter.add(new Instruction(RETURN_CONSTANT, 0, others));
        return attach(port, filter);
    }

    private static int headerBytes(InetSocketAddress from) {
        return from.getAddress() instanceof Inet4Address ? IPV4_HEADER_BYTES : IPV6_HEADER_BYTES;
    }

    private static boolean attach(int port, List<Instruction> filter) {
        int descriptor = SocketCalls.isSupported() ? listening(port) : -1;
        if (descriptor < 0) {
            return false;
        }
        try (Memory instructions = new Memory((long) INSTRUCTION_BYTES * filter.size());
                Memory program = new Memory(PROGRAM_BYTES)) {
            instructions.clear();
            for (int i = 0; i < filter.size(); i++) {
                long at = (long) INSTRUCTION_BYTES * i;
                instructions.setShort(at, filter.get(i).code());
                instructions.setByte(at + JUMP_ELSE_OFFSET, (byte) filter.get(i).jumpElse());
                instructions.setInt(at + CONSTANT_OFFSET, filter.get(i).constant());
            }
            program.clear();
            program.setShort(0, (short) filter.size());
            program.setPointer(PROGRAM_POINTER_OFFSET, instructions);
            return SocketCalls.Loaded.C.setsockopt(
                            descriptor,
                            SOL_SOCKET,
                            SO_ATTACH_REUSEPORT_CBPF,
                            program,
                            PROGRAM_BYTES)
                    == 0;
        }
    }

    /** Leaves the choice to the hash again; nothing changes where no member was selected. */
    static void selectByHash(int port) {
        if (!SocketCalls.isSupported()) {
            return;
        }
        int descriptor = listening(port);
        if (descriptor >= 0) {
            try (Memory none = new Memory(Integer.BYTES)) {
                none.clear();
                SocketCalls.Loaded.C.setsockopt(
                        descriptor, SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, none, Integer.BYTES);
            }
        }
    }

    /** A socket of this process that listens at this port beside others, or -1. */
    private static int listening(int port) {
        return OwnSockets.find(
                descriptor ->
                        isSet(descriptor, SO_ACCEPTCONN)
                                && isSet(descriptor, SO_REUSEPORT)
                                && OwnSockets.localPort(descriptor) == port);
    }

    private static boolean isSet(int descriptor, int option) {
        IntByReference value = new IntByReference();
        IntByReference size = new IntByReference(Integer.BYTES);
        return SocketCalls.Loaded.C.getsockopt(descriptor, SOL_SOCKET, option, value, size) == 0
                && value.getValue() != 0;
    }
}
