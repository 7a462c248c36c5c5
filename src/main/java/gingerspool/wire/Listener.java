package gingerspool.wire;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The listening socket: accepts while its owner has room.
 *
 * <p>Closing resets every connection that the kernel holds for it, also one whose handshake is not
 * over, though its client has been let in. A process that another one has succeeded therefore
 * closes it only once no connection comes any more ({@link #closeWhenQuiet}), and ends only once
 * the last accept has told its end ({@link #mayAccept}).
 *
 * <p>Thread: the event loop. Times are milliseconds.
 */
public final class Listener implements CompletionHandler<AsynchronousSocketChannel, Void> {
    private static final Logger LOG = LoggerFactory.getLogger(Listener.class);
    private static final int BACKLOG = 1024;

    /** How long it waits after an accept that failed, as when there is no descriptor left. */
    private static final double PAUSE = 100;

    /** Connections that are accepted in one turn. */
    private static final int MOST_AT_ONCE = 64;

    /** A span without connections is watched in so many parts. */
    private static final int QUIET_PARTS = 10;

    /** No part is shorter than this, in milliseconds. */
    private static final double SHORTEST_PART = 1;

    private static final String OUT_OF_DESCRIPTORS = "Too many open files";

    /** Who takes the connections. */
    public interface Owner {
        default boolean hasRoom() {
            return true;
        }

        /** The process holds all the descriptors that it may. */
        default void outOfDescriptors() {}

        void accepted(AsynchronousSocketChannel channel);

        /**
         * The same with the earliest time at which the client may have been let in by the kernel,
         * in milliseconds on the loop's clock: it may have written its request since then.
         */
        default void accepted(AsynchronousSocketChannel channel, double letInFrom) {
            accepted(channel);
        }
    }

    private final EventLoop loop;
    private final Owner owner;
    private final AsynchronousServerSocketChannel channel;

    /** Connections of our own, by where they come from; they are not the owner's. */
    private final Map<SocketAddress, Runnable> expected = new HashMap<>();

    /** An accept is being begun; one that is done at once ends in that call. */
    private boolean isBeginning;

    private AsynchronousSocketChannel acceptedAtOnce;

    /** An accept is under way, or the pause after one that failed. */
    private boolean accepting;

    /** No client that is yet to be accepted can have been let in before this. */
    private double emptyAt;

    /** Since when an accept has waited for a connection, or none was to be waited for. */
    private double quietSince;

    /** It closes after so long without a connection; NaN while it is to stay open. */
    private double closesAfter = Double.NaN;

    /** It closes at the first moment when nothing waits. */
    private boolean draining;

    /** Connections accepted since it was first told to close. */
    private int acceptedClosing;

    /** Listens at once, alone at its address. */
    public Listener(EventLoop loop, SocketAddress at, Owner owner) throws IOException {
        this(loop, at, false, owner);
    }

    /** Listens at once; where shared, other processes may listen at the same address beside it. */
    public Listener(EventLoop loop, SocketAddress at, boolean shared, Owner owner)
            throws IOException {
        this.loop = loop;
        this.owner = owner;
        emptyAt = loop.now();
        channel = loop.serverChannel();
        try {
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            if (shared) {
                channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            channel.bind(at, BACKLOG);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    public SocketAddress address() throws IOException {
        return channel.getLocalAddress();
    }

    public boolean isOpen() {
        return channel.isOpen();
    }

    /**
     * Whether a connection may still come of it: while it is open, and until an accept under way at
     * its close has told its end. Guards the clients: the process must not end before.
     */
    public boolean mayAccept() {
        return channel.isOpen() || accepting;
    }

    /** Whether it waits for the next connection: not so while its owner has no room for one. */
    boolean isAccepting() {
        return channel.isOpen() && accepting;
    }

    /**
     * Goes on accepting, if it does not and there is room: all who wait at once, up to a bound, so
     * that it is known that nobody waits any more.
     */
    public void acceptOn() {
        if (isBeginning) {
            return;
        }
        for (int i = 0; i < MOST_AT_ONCE; i++) {
            // Making room may close a connection, which asks for this again: so the mark is looked
            // at last.
            if (!channel.isOpen() || !owner.hasRoom() || accepting || !acceptOne()) {
                return;
            }
        }
        loop.schedule(0, this::acceptOn);
    }

    /** Tells whether one was accepted at once, and has been taken. */
    private boolean acceptOne() {
        accepting = true;
        quietSince = loop.now();
        isBeginning = true;
        channel.accept(null, this);
        isBeginning = false;
        AsynchronousSocketChannel accepted = acceptedAtOnce;
        acceptedAtOnce = null;
        if (accepted == null) {
            emptyAt = loop.now();
            return false;
        }
        accepting = false;
        take(accepted);
        return true;
    }

    @Override
    public void completed(AsynchronousSocketChannel accepted, Void none) {
        if (isBeginning) {
            acceptedAtOnce = accepted;
            return;
        }
        loop.execute(
                () -> {
                    accepting = false;
                    emptyAt = Math.max(emptyAt, loop.noticedAt());
                    take(accepted);
                    if (draining) {
                        drain();
                    }
                    acceptOn();
                });
    }

    private void take(AsynchronousSocketChannel accepted) {
        Runnable arrived = expected.isEmpty() ? null : expected.remove(remote(accepted));
        if (arrived != null) {
            closeQuietly(accepted);
            arrived.run();
            return;
        }
        acceptedClosing += isClosing() ? 1 : 0;
        owner.accepted(accepted, emptyAt);
    }

    private static SocketAddress remote(AsynchronousSocketChannel accepted) {
        try {
            return accepted.getRemoteAddress();
        } catch (IOException e) {
            return null;
        }
    }

    private static void closeQuietly(AsynchronousSocketChannel accepted) {
        try {
            accepted.close();
        } catch (IOException e) {
            LOG.atDebug().addKeyValue("why", e.getMessage()).log("connection.close_failed");
        }
    }

    @Override
    public void failed(Throwable why, Void none) {
        loop.execute(
                () -> {
                    if (!channel.isOpen()) {
                        accepting = false;
                        return;
                    }
                    LOG.atWarn().addKeyValue("why", why.getMessage()).log("listener.accept_failed");
                    if (OUT_OF_DESCRIPTORS.equals(why.getMessage())) {
                        owner.outOfDescriptors();
                    }
                    loop.schedule(
                            PAUSE,
                            () -> {
                                accepting = false;
                                acceptOn();
                            });
                });
    }

    /**
     * A connection that this process makes to its own address: if this listener gets it, `arrived`
     * runs and the owner is told nothing.
     */
    void expect(SocketAddress from, Runnable arrived) {
        expected.put(from, arrived);
    }

    void expectNoMore(SocketAddress from) {
        expected.remove(from);
    }

    // ---- Closing ----

    private boolean isClosing() {
        return draining || !Double.isNaN(closesAfter);
    }

    /**
     * Another process gets the new connections: closes once an accept has waited for so long in
     * vain. Guards the clients whose handshakes were under way when that process got the rest.
     */
    public void closeWhenQuiet(double quiet) {
        boolean watched = !Double.isNaN(closesAfter);
        closesAfter = quiet;
        quietSince = loop.now();
        if (!watched) {
            lookWhetherQuiet();
        }
    }

    /** That process is gone: stays open after all. */
    public void stayOpen() {
        closesAfter = Double.NaN;
        draining = false;
        acceptOn();
    }

    /** Looks once in each part of the span, and at its end; all together must have been quiet. */
    private void lookWhetherQuiet() {
        double left = closesAfter - (loop.now() - quietSince);
        double part = Math.min(closesAfter / QUIET_PARTS, Math.max(SHORTEST_PART, left));
        loop.schedule(part, this::look);
    }

    /**
     * Guards against a process that gets no processor: what came meanwhile has not been accepted,
     * so the time in which its loop was late counts for nothing.
     */
    private void look() {
        if (Double.isNaN(closesAfter) || !channel.isOpen()) {
            return;
        }
        // Where there is no room, connections may wait that no accept has been told of.
        if (!accepting) {
            quietSince = loop.now();
        }
        quietSince = Math.max(quietSince, loop.onTimeSince());
        if (loop.now() - quietSince < closesAfter) {
            lookWhetherQuiet();
            return;
        }
        double since = quietSince;
        // The ends of accepts that came while this timer was due run first.
        loop.schedule(0, () -> closeIfQuietSince(since));
    }

    private void closeIfQuietSince(double since) {
        if (accepting && quietSince == since && !Double.isNaN(closesAfter)) {
            close();
        } else {
            lookWhetherQuiet();
        }
    }

    /**
     * Closes though connections may come, at the moment when none waits, or soon. The kernel may
     * reset one that comes at that very moment.
     */
    public void drainAndClose() {
        if (draining || !channel.isOpen()) {
            return;
        }
        draining = true;
        if (!accepting) {
            drain();
        }
        closeAfterPause();
    }

    /** An accept that is under way ends with the next client; none may come. */
    private void closeAfterPause() {
        double due = loop.now() + PAUSE;
        loop.schedule(PAUSE, () -> closeIfOnTime(due));
    }

    /** Guards against a process that gets no processor: what came meanwhile is accepted first. */
    private void closeIfOnTime(double due) {
        if (!draining || !channel.isOpen()) {
            return;
        }
        if (loop.now() > due + PAUSE) {
            closeAfterPause();
        } else {
            // The ends of accepts that came while this timer was due run first.
            loop.schedule(0, this::closeIfDraining);
        }
    }

    private void closeIfDraining() {
        if (draining) {
            close();
        }
    }

    private void drain() {
        try {
            while (channel.isOpen()) {
                Future<AsynchronousSocketChannel> next = channel.accept();
                if (!next.isDone()) {
                    close();
                    return;
                }
                take(next.get());
            }
        } catch (ExecutionException | InterruptedException e) {
            LOG.atWarn().addKeyValue("why", e.getMessage()).log("listener.accept_failed");
            close();
        }
    }

    /** Closes at once; see {@link #mayAccept} for what may still come. */
    public void close() {
        if (!channel.isOpen()) {
            return;
        }
        LOG.atInfo()
                .addKeyValue("accepting", accepting)
                .addKeyValue("accepted_closing", acceptedClosing)
                .log("listener.closed");
        try {
            channel.close();
        } catch (IOException e) {
            LOG.atWarn().addKeyValue("why", e.getMessage()).log("listener.close_failed");
        }
    }
}
