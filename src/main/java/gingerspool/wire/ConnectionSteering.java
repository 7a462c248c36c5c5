package gingerspool.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
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

    /** How a claim ended. */
    public enum Outcome {
        /** All new connections come to the listener. */
        CLAIMED,
        /** No number led to it; it may be late to see its own connection. */
        NOT_FOUND,
        /** The system does not say which listener gets a connection. */
        UNSUPPORTED
    }

    /** No member is known. */
    public static final int UNKNOWN = ReusePortGroup.BY_HASH;

    /** Who listens beside one other has usually come after it, as the second member. */
    private static final List<Integer> GUESSES = List.of(1, 0, 2, 3);

    /**
     * A number without a member leaves it to the hash where a probe arrives: so many in a row are
     * no luck.
     */
    private static final int PROBES = 3;

    /** Says which member gets new connections; blocks. The system's own, or a test's. */
    interface Group {
        boolean select(int port, int member);

        boolean selectFor(InetSocketAddress from, int port, int member, int others);

        void selectByHash(int port);
    }

    private static final class KernelGroup implements Group {
        @Override
        public boolean select(int port, int member) {
            return ReusePortGroup.select(port, member);
        }

        @Override
        public boolean selectFor(InetSocketAddress from, int port, int member, int others) {
            return ReusePortGroup.selectFor(from, port, member, others);
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
    private int member = UNKNOWN;

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

    /** Which member this process was when all new connections came to it last, or UNKNOWN. */
    public int member() {
        return member;
    }

    /**
     * Has all new connections come to this listener, which must be accepting; then tells whether
     * they do. Until it is known which member it is, clients go to the member `others`. Where they
     * can't be had, the kernel shares them out as before.
     */
    public void claim(Listener listener, int others, Consumer<Outcome> done) {
        List<Integer> candidates = new ArrayList<>(GUESSES);
        if (member != UNKNOWN) {
            candidates.remove((Integer) member);
            candidates.add(0, member);
        }
        try {
            InetSocketAddress address = (InetSocketAddress) listener.address();
            new Claim(listener, address, candidates.iterator(), others, done).next();
        } catch (IOException e) {
            done.accept(Outcome.NOT_FOUND);
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

    /** One search for our own number. Guards the clients: it moves none but our own connection. */
    private final class Claim {
        private final Listener listener;
        private final InetSocketAddress address;
        private final Iterator<Integer> candidates;
        private final int others;
        private final Consumer<Outcome> done;

        /** The system took at least one number. */
        private boolean isSupported;

        Claim(
                Listener listener,
                InetSocketAddress address,
                Iterator<Integer> candidates,
                int others,
                Consumer<Outcome> done) {
            this.listener = listener;
            this.address = address;
            this.candidates = candidates;
            this.others = others;
            this.done = done;
        }

        void next() {
            if (!candidates.hasNext() || !listener.isOpen()) {
                done.accept(isSupported ? Outcome.NOT_FOUND : Outcome.UNSUPPORTED);
                return;
            }
            probe(candidates.next(), PROBES);
        }

        private void probe(int candidate, int probes) {
            try {
                Probe probe =
                        new Probe(
                                listener,
                                address,
                                arrived -> probed(arrived, candidate, probes - 1));
                call(
                        () -> group.selectFor(probe.from, address.getPort(), candidate, others),
                        selected -> {
                            isSupported |= selected;
                            if (selected) {
                                probe.begin();
                            } else {
                                probe.end(false);
                            }
                        });
            } catch (IOException e) {
                done.accept(Outcome.NOT_FOUND);
            }
        }

        private void probed(boolean arrived, int candidate, int left) {
            if (!arrived) {
                next();
                return;
            }
            if (left > 0) {
                probe(candidate, left);
                return;
            }
            call(
                    () -> group.select(address.getPort(), candidate),
                    selected -> {
                        member = selected ? candidate : member;
                        done.accept(selected ? Outcome.CLAIMED : Outcome.NOT_FOUND);
                    });
        }

        private void call(BooleanSupplier systemCall, Consumer<Boolean> then) {
            blocking.execute(
                    () -> {
                        boolean done = succeeds(systemCall);
                        onLoop.execute(() -> then.accept(done));
                    });
        }

        private boolean succeeds(BooleanSupplier systemCall) {
            try {
                return systemCall.getAsBoolean();
            } catch (LinkageError e) {
                LOG.atDebug().addKeyValue("why", e.toString()).log("steering.unavailable");
                return false;
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
