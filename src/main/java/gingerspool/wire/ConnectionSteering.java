package gingerspool.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Has all new connections at a shared address come to this process, so that another one can close
 * its listener there while none is on its way to it. The kernel numbers the listeners of a group in
 * an order that nobody is told; so each number is tried and a connection of our own shows where it
 * leads.
 *
 * <p>Thread: the event loop; system calls are made by the executor for blocking work.
 */
public final class ConnectionSteering {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionSteering.class);

    /** Who listens beside one other has usually come after it, as the second member. */
    private static final int FIRST_GUESS = 1;

    /** Says which member gets new connections; blocks. The system's own, or a test's. */
    interface Group {
        boolean select(int port, int member);

        void selectByHash(int port);
    }

    private static final class KernelGroup implements Group {
        @Override
        public boolean select(int port, int member) {
            return ReusePortGroup.select(port, member);
        }

        @Override
        public void selectByHash(int port) {
            ReusePortGroup.selectByHash(port);
        }
    }

    private final EventLoop loop;
    private final Executor blocking;
    private final Executor onLoop;
    private final double probeWithin;
    private final Group group;

    /** The member that we were when we last knew. */
    private int member = FIRST_GUESS;

    /**
     * System calls are made by `blocking`, whose ends `onLoop` brings to the loop. A connection to
     * our own address shows within `probeWithin` milliseconds where it arrives.
     */
    public ConnectionSteering(
            EventLoop loop, Executor blocking, Executor onLoop, double probeWithin) {
        this(loop, blocking, onLoop, probeWithin, new KernelGroup());
    }

    ConnectionSteering(
            EventLoop loop, Executor blocking, Executor onLoop, double probeWithin, Group group) {
        this.loop = loop;
        this.blocking = blocking;
        this.onLoop = onLoop;
        this.probeWithin = probeWithin;
        this.group = group;
    }

    /**
     * Has all new connections come to this listener, which must be accepting; then tells whether
     * they do. Where they can't be had, the kernel shares them out as before.
     */
    public void claim(Listener listener, Consumer<Boolean> done) {
        try {
            new Claim(listener, (InetSocketAddress) listener.address(), done).attempt(0);
        } catch (IOException e) {
            done.accept(false);
        }
    }

    /** Leaves it to the kernel again who of those that listen at this port gets a connection. */
    public void release(int port) {
        blocking.execute(
                () -> {
                    try {
                        group.selectByHash(port);
                    } catch (LinkageError e) {
                        // Without the native library nothing was selected either.
                        LOG.atDebug().addKeyValue("why", e.toString()).log("steering.unavailable");
                    }
                });
    }

    /** One search for our own number. */
    private final class Claim {
        private final Listener listener;
        private final InetSocketAddress address;
        private final Consumer<Boolean> done;

        Claim(Listener listener, InetSocketAddress address, Consumer<Boolean> done) {
            this.listener = listener;
            this.address = address;
            this.done = done;
        }

        /** The number that was ours first, then the others. */
        void attempt(int attempts) {
            if (attempts > ReusePortGroup.MOST_MEMBERS || !listener.isOpen()) {
                release(address.getPort());
                done.accept(false);
                return;
            }
            int candidate = attempts == 0 ? member : attempts - 1;
            blocking.execute(
                    () -> {
                        boolean selected = select(candidate);
                        onLoop.execute(() -> selected(selected, candidate, attempts));
                    });
        }

        private boolean select(int candidate) {
            try {
                return group.select(address.getPort(), candidate);
            } catch (LinkageError e) {
                LOG.atDebug().addKeyValue("why", e.toString()).log("steering.unavailable");
                return false;
            }
        }

        private void selected(boolean selected, int candidate, int attempts) {
            if (!selected) {
                done.accept(false);
                return;
            }
            try {
                new Probe(
                                listener,
                                address,
                                arrived -> {
                                    if (arrived) {
                                        member = candidate;
                                        done.accept(true);
                                    } else {
                                        attempt(attempts + 1);
                                    }
                                })
                        .begin();
            } catch (IOException e) {
                done.accept(false);
            }
        }
    }

    /** One connection to our own address, and whether our own listener is the one that gets it. */
    private final class Probe {
        private final Listener listener;
        private final AsynchronousSocketChannel channel;
        private final InetSocketAddress to;
        private final InetSocketAddress from;
        private final Consumer<Boolean> done;
        private boolean ended;

        Probe(Listener listener, InetSocketAddress address, Consumer<Boolean> done)
                throws IOException {
            this.listener = listener;
            this.done = done;
            InetAddress host =
                    address.getAddress().isAnyLocalAddress()
                            ? InetAddress.getLoopbackAddress()
                            : address.getAddress();
            to = new InetSocketAddress(host, address.getPort());
            channel = loop.channel();
            // Known before it is up: our listener may see it before the end of connecting is told.
            channel.bind(new InetSocketAddress(host, 0));
            from = (InetSocketAddress) channel.getLocalAddress();
        }

        void begin() {
            listener.expect(from, () -> end(true));
            loop.schedule(probeWithin, () -> end(false));
            channel.connect(
                    to,
                    null,
                    new CompletionHandler<Void, Void>() {
                        @Override
                        public void completed(Void nothing, Void none) {
                            // Where it has arrived, its listener tells.
                        }

                        @Override
                        public void failed(Throwable why, Void none) {
                            loop.execute(() -> end(false));
                        }
                    });
        }

        private void end(boolean arrived) {
            if (ended) {
                return;
            }
            ended = true;
            listener.expectNoMore(from);
            try {
                channel.close();
            } catch (IOException e) {
                LOG.atDebug().addKeyValue("why", e.getMessage()).log("steering.close_failed");
            }
            done.accept(arrived);
        }
    }
}
