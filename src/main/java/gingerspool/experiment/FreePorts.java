package gingerspool.experiment;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Ports on loopback for processes that are to be called where they were told to listen. Each stays
 * bound, though nobody listens on it here, until this is closed: plays beside each other would
 * choose the same port otherwise, and their schedulers, which share ports, each other's clients.
 *
 * <p>Thread: any.
 */
final class FreePorts implements Closeable {
    private static final int PORTS = 20_000;
    private static final int PORTS_MOST = 12_000;
    private static final int ATTEMPTS = 1000;

    /** For ports only; what is played comes from the plan. */
    private static final SplittableRandom CHANCE = new SplittableRandom();

    private final ConcurrentLinkedQueue<Socket> held = new ConcurrentLinkedQueue<>();

    /**
     * A port that is free, below those that the system hands out, so that nobody takes it
     * meanwhile.
     */
    InetSocketAddress next() throws IOException {
        for (int i = 0; i < ATTEMPTS; i++) {
            InetSocketAddress address =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), nextCandidate());
            if (hold(address)) {
                return address;
            }
        }
        throw new IOException("no port is free between " + PORTS + " and " + (PORTS + PORTS_MOST));
    }

    private static synchronized int nextCandidate() {
        return PORTS + CHANCE.nextInt(PORTS_MOST);
    }

    /** Whether nobody has it: binds alone, and lets others in, who listen, only after that. */
    private boolean hold(InetSocketAddress address) throws IOException {
        Socket holder = new Socket();
        try {
            holder.setReuseAddress(false);
            holder.bind(address);
            holder.setReuseAddress(true);
            holder.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            held.add(holder);
            return true;
        } catch (IOException e) {
            // Taken: another is tried.
            holder.close();
            return false;
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket holder = held.poll(); holder != null; holder = held.poll()) {
            holder.close();
        }
    }
}
