package gingerspool.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Has all new connections at a shared address come to this process, so that another one can close
 * its listener there while none is on its way to it. The kernel numbers the listeners of a group in
 * an order that nobody is told; so connections of our own, one to each number, show where it leads.
 *
 * <p>Thread: the event loop; system calls are made by the executor for blocking work. Times are
 * milliseconds.
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
        UNSUPPORTED,
        /** {@link #cancel} was called, or another claim begun. */
        CANCELLED
    }

    /** No member is known. */
    public static final int UNKNOWN = ReusePortGroup.BY_HASH;

    /** The number of a listener without any beside it. */
    public static final int FIRST = 0;

    /** How many numbers a round tries: those of a hand-over and of one that overlaps it. */
    private static final int USUAL_MEMBERS = 4;

    /** How many it tries where none of those is ours; more processes are not looked for. */
    private static final int MOST_MEMBERS = 2 * USUAL_MEMBERS;

    /**
     * How long a round waits, in times of a connection's: ours waits behind clients that came
     * before it, and one of the usual numbers is ours unless more processes listen.
     */
    private static final double ROUND_WAITS = 4;

    /** How many connections of our own show whether a claim still stands. */
    private static final int VERIFYING_PROBES = 3;

    /** Says which member gets new connections; blocks. The system's own, or a test's. */
    interface Group {
        void load();

        boolean select(int port, int member);

        boolean selectFor(List<ReusePortGroup.Route> routes, int port, int others);

        void selectByHash(int port);
    }

    private static final class KernelGroup implements Group {
        @Override
        public void load() {
            ReusePortGroup.load();
        }

        @Override
        public boolean select(int port, int member) {
            return ReusePortGroup.select(port, member);
        }

        @Override
        public boolean selectFor(List<ReusePortGroup.Route> routes, int port, int others) {
            return ReusePortGroup.selectFor(routes, port, others);
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

    /** The claim under way, or null. */
    private Claim current;

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

    /** Gets the native library ready ahead of a claim, beside whatever else is done. */
    public void prepare() {
        blocking.execute(
                () -> {
                    try {
                        group.load();
                    } catch (LinkageError e) {
                        unavailable(e);
                    }
                });
    }

    /**
     * Has all new connections come to this listener, which must be accepting; then tells whether
     * they do. Until it is known which member it is, clients go to the member `others`. Where they
     * can't be had, the kernel shares them out as before. A claim under way is cancelled by this.
     */
    public void claim(Listener listener, int others, Consumer<Outcome> done) {
        cancel();
        try {
            InetSocketAddress address = (InetSocketAddress) listener.address();
            current = new Claim(listener, address, others, done);
            current.beginRound();
        } catch (IOException e) {
            done.accept(Outcome.NOT_FOUND);
        }
    }

    /**
     * Tells whether new connections still come to this listener, as after a claim. While they do,
     * no other member gets a connection by this, so that it can close once it is quiet.
     */
    public void verify(Listener listener, Consumer<Boolean> done) {
        try {
            new Verification((InetSocketAddress) listener.address(), done).begin(listener);
        } catch (IOException e) {
            done.accept(false);
        }
    }

    /** Whether a claim is under way. */
    public boolean isClaiming() {
        return current != null;
    }

    /** Another process is to have the connections: a claim under way ends without them. */
    public void cancel() {
        if (current != null) {
            current.end(Outcome.CANCELLED);
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
                        unavailable(e);
                    }
                });
    }

    private static void unavailable(LinkageError why) {
        LOG.atDebug().addKeyValue("why", why.toString()).log("steering.unavailable");
    }

    /**
     * One search for our own number, in rounds. A round sends one connection of our own to each
     * number from 0 on; the first one that arrives tells the number. Those of other members never
     * arrive here. Numbers without a member, which leave it to the hash where a connection arrives,
     * are higher than all members' numbers, so ours arrives before theirs. A second round has to
     * find the same, lest the order of one round was disturbed.
     *
     * <p>Guards the clients: it moves none but our own connections.
     */
    private final class Claim {
        private final Listener listener;
        private final InetSocketAddress address;
        private final int others;
        private final Consumer<Outcome> done;
        private final double begunAt = loop.now();

        /** Empty between rounds. */
        private final List<Probe> probes = new ArrayList<>();

        /** How many numbers are tried at once. */
        private int members = USUAL_MEMBERS;

        /** What the round before found, or UNKNOWN. */
        private int found = UNKNOWN;

        private int rounds;
        private int roundsInVain;
        private Future<?> roundEnds;

        Claim(Listener listener, InetSocketAddress address, int others, Consumer<Outcome> done) {
            this.listener = listener;
            this.address = address;
            this.others = others;
            this.done = done;
        }

        private boolean isOver() {
            return current != this;
        }

        void beginRound() {
            if (!listener.isOpen()) {
                end(Outcome.NOT_FOUND);
                return;
            }
            rounds++;
            List<ReusePortGroup.Route> routes = new ArrayList<>();
            try {
                for (int number = 0; number < members; number++) {
                    Probe probe = new Probe(listener, address, number, this::arrived);
                    probes.add(probe);
                    routes.add(new ReusePortGroup.Route(probe.from, probe.member));
                }
            } catch (IOException e) {
                end(Outcome.NOT_FOUND);
                return;
            }
            call(
                    () -> group.selectFor(routes, address.getPort(), others),
                    selected -> {
                        if (selected) {
                            sendProbes();
                        } else {
                            end(Outcome.UNSUPPORTED);
                        }
                    });
        }

        private void sendProbes() {
            roundEnds = loop.schedule(ROUND_WAITS * probeWithin, this::noneArrived);
            probes.forEach(Probe::begin);
        }

        private void arrived(int number) {
            if (isOver()) {
                return;
            }
            endRound();
            if (number == found) {
                select(number);
            } else {
                found = number;
                beginRound();
            }
        }

        private void noneArrived() {
            if (isOver()) {
                return;
            }
            endRound();
            roundsInVain++;
            LOG.atInfo()
                    .addKeyValue("members", members)
                    .addKeyValue("accepting", listener.isAccepting())
                    .log("steering.none_arrived");
            if (members == MOST_MEMBERS) {
                end(Outcome.NOT_FOUND);
                return;
            }
            found = UNKNOWN;
            members = MOST_MEMBERS;
            beginRound();
        }

        private void endRound() {
            if (roundEnds != null) {
                roundEnds.cancel(false);
                roundEnds = null;
            }
            probes.forEach(Probe::end);
            probes.clear();
        }

        private void select(int number) {
            call(
                    () -> group.select(address.getPort(), number),
                    selected -> {
                        Level level = selected && member == number ? Level.DEBUG : Level.INFO;
                        member = selected ? number : member;
                        LOG.atLevel(level)
                                .addKeyValue("member", number)
                                .addKeyValue("selected", selected)
                                .addKeyValue("rounds", rounds)
                                .addKeyValue("in_vain", roundsInVain)
                                .addKeyValue("ms", Math.round(loop.now() - begunAt))
                                .log("steering.found");
                        end(selected ? Outcome.CLAIMED : Outcome.NOT_FOUND);
                    });
        }

        /** Ends the claim, once. */
        void end(Outcome outcome) {
            if (isOver()) {
                return;
            }
            endRound();
            current = null;
            done.accept(outcome);
        }

        /** Makes a system call and goes on with its result, unless the claim is over by then. */
        private void call(BooleanSupplier systemCall, Consumer<Boolean> then) {
            blocking.execute(
                    () -> {
                        boolean succeeded = succeeds(systemCall);
                        onLoop.execute(
                                () -> {
                                    if (!isOver()) {
                                        then.accept(succeeded);
                                    }
                                });
                    });
        }

        private boolean succeeds(BooleanSupplier systemCall) {
            try {
                return systemCall.getAsBoolean();
            } catch (LinkageError e) {
                unavailable(e);
                return false;
            }
        }
    }

    /** Some connections of our own, all of which have to arrive. */
    private final class Verification {
        private final InetSocketAddress address;
        private final Consumer<Boolean> done;
        private final List<Probe> probes = new ArrayList<>();
        private Future<?> tooLate;
        private int missing = VERIFYING_PROBES;

        Verification(InetSocketAddress address, Consumer<Boolean> done) {
            this.address = address;
            this.done = done;
        }

        void begin(Listener listener) throws IOException {
            for (int i = 0; i < VERIFYING_PROBES; i++) {
                probes.add(new Probe(listener, address, member, number -> arrived()));
            }
            tooLate = loop.schedule(probeWithin, () -> end(false));
            probes.forEach(Probe::begin);
        }

        private void arrived() {
            missing--;
            if (missing == 0) {
                tooLate.cancel(false);
                end(true);
            }
        }

        private void end(boolean stands) {
            probes.forEach(Probe::end);
            done.accept(stands);
        }
    }

    /** One connection to our own address, and whether our own listener is the one that gets it. */
    private final class Probe {
        private final Listener listener;
        private final AsynchronousSocketChannel channel;
        private final InetSocketAddress to;
        private final InetSocketAddress from;
        private final int member;
        private final Consumer<Integer> arrived;

        Probe(Listener listener, InetSocketAddress address, int member, Consumer<Integer> arrived)
                throws IOException {
            this.listener = listener;
            this.member = member;
            this.arrived = arrived;
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
            if (!channel.isOpen()) {
                return;
            }
            listener.expect(from, () -> arrived.accept(member));
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
                            // It arrives nowhere, which the end of the round shows.
                        }
                    });
        }

        void end() {
            listener.expectNoMore(from);
            try {
                channel.close();
            } catch (IOException e) {
                LOG.atDebug().addKeyValue("why", e.getMessage()).log("steering.close_failed");
            }
        }
    }
}
