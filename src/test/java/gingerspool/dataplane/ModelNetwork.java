package gingerspool.dataplane;

import gingerspool.wire.EventLoop;
import gingerspool.wire.RequestSafeguard;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousCloseException;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A simulated network, clock and event loop in memory, driven by a seed. Its channels deliver bytes
 * in random segments with random delays and resets. Time advances only from event to event.
 *
 * <p>Single-threaded; times are in milliseconds, and the clock starts at 1,000,000.
 */
final class ModelNetwork implements EventLoop {
    /** The simulated far end of a channel. */
    interface Remote {
        void received(byte[] bytes);

        /** The code under test has closed its end. */
        void closed();
    }

    /** Accepts connections at an address. */
    interface Acceptor {
        Remote accept(Channel channel);
    }

    /** A task to run at a time; events at the same time run in the order of their numbers. */
    private record Event(double at, long serial, Runnable task) {}

    /** The only source of randomness, so that a seed determines a whole run. */
    final SplittableRandom random;

    private final Set<RequestSafeguard> disabledSafeguards;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::at).thenComparingLong(Event::serial));
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();

    /** The listeners; null for an address that never completes connections. */
    private final Map<SocketAddress, Acceptor> acceptors = new HashMap<>();

    private boolean isRunning;
    private long nextSerial;
    private double now = 1_000_000;

    /** The first failed check; null if there is none. */
    private String violation;

    /** How long after the runtime has noticed an event the loop handles it. */
    double loopDelay;

    ModelNetwork(long seed, Set<RequestSafeguard> disabled) {
        random = new SplittableRandom(seed);
        this.disabledSafeguards =
                disabled.isEmpty() ? EnumSet.noneOf(RequestSafeguard.class) : disabled;
    }

    void listen(SocketAddress address, Acceptor acceptor) {
        acceptors.put(address, acceptor);
    }

    /** Lets connection attempts to this address neither succeed nor fail. */
    void listenSilently(SocketAddress address) {
        acceptors.put(address, null);
    }

    void stopListening(SocketAddress address) {
        acceptors.remove(address);
    }

    /** Records a violation if the condition doesn't hold; only the first one is kept. */
    void check(boolean condition, String message) {
        violation =
                condition || violation != null
                        ? violation
                        : message + " at " + Math.round(now - 1_000_000);
    }

    String violation() {
        return violation;
    }

    // ---- Time ----

    /** Schedules a task of the simulation itself. */
    void runAt(double time, Runnable task) {
        events.add(new Event(Math.max(now, time), nextSerial++, task));
    }

    /** Runs the events until a time, or until the first violation. */
    void runUntil(double end) {
        while (!events.isEmpty() && events.peek().at <= end && violation == null) {
            Event next = events.poll();
            now = next.at;
            next.task.run();
        }
        now = Math.max(now, end);
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        if (isRunning) {
            return;
        }
        isRunning = true;
        for (Runnable next = tasks.poll(); next != null; next = tasks.poll()) {
            try {
                next.run();
            } catch (RuntimeException e) {
                check(false, "a task failed: " + e);
            }
        }
        isRunning = false;
    }

    @Override
    public Future<?> schedule(double delay, Runnable task) {
        CompletableFuture<Void> timer = new CompletableFuture<>();
        runAt(
                now + delay,
                () -> {
                    if (timer.complete(null)) {
                        execute(task);
                    }
                });
        return timer;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public double noticedAt() {
        return now - loopDelay;
    }

    @Override
    public AsynchronousChannelGroup group() {
        return null;
    }

    @Override
    public Channel channel() {
        return new Channel();
    }

    @Override
    public boolean isEnabled(RequestSafeguard safeguard) {
        return !disabledSafeguards.contains(safeguard);
    }

    private double randomDeliveryTime() {
        return now + 0.05 + 2 * random.nextDouble();
    }

    /**
     * Bytes in transit. Whether they forbid reuse of the connection is determined when they are
     * read.
     */
    private record Segment(byte[] bytes, BooleanSupplier preventsReuse) {}

    /**
     * The end of a connection that the code under test uses. The far end acts on it by {@link
     * #send}, {@link #closeOutput} and {@link #reset}.
     */
    final class Channel extends AsynchronousSocketChannel {
        private Remote remote;
        private final ArrayDeque<Segment> incoming = new ArrayDeque<>();

        /** When the latest bytes for the code under test arrive: bytes arrive in order. */
        private double lastDeliveryAt;

        /** The same for the far end. */
        private double lastPeerDeliveryAt;

        private boolean open = true;
        private boolean atEndOfStream;
        private boolean isReset;
        private boolean isReading;
        private Runnable failRead = () -> {};
        private Runnable tryRead = () -> {};

        /** Whether bytes were read here after which no other request may use the connection. */
        private boolean mustNotBeReused;

        private boolean isWriting;

        /** The maximum duration of one write. */
        double maxWriteTime = 1;

        private Channel() {
            super(null);
        }

        // ---- The far end ----

        void setRemote(Remote peer) {
            remote = peer;
        }

        void send(byte[] bytes) {
            send(bytes, () -> false);
        }

        /** Sends bytes after which no other request may use the connection. */
        void sendPreventingReuse(byte[] bytes) {
            send(bytes, () -> true);
        }

        /**
         * Sends a response early. The connection must not be reused if the request is still being
         * written when the response is read.
         */
        void sendEarly(byte[] bytes) {
            send(bytes, () -> isWriting);
        }

        /** Sends bytes, which arrive in order. */
        private void send(byte[] bytes, BooleanSupplier preventsReuse) {
            lastDeliveryAt = Math.max(lastDeliveryAt, randomDeliveryTime());
            runAt(
                    lastDeliveryAt,
                    () -> {
                        if (open && !isReset && bytes.length > 0) {
                            incoming.add(new Segment(bytes, preventsReuse));
                            tryRead.run();
                        }
                    });
        }

        void closeOutput() {
            lastDeliveryAt = Math.max(lastDeliveryAt, randomDeliveryTime());
            runAt(
                    lastDeliveryAt,
                    () -> {
                        atEndOfStream = true;
                        tryRead.run();
                    });
        }

        /** Resets the connection; bytes sent but not yet read may be lost. */
        void reset() {
            if (random.nextBoolean()) {
                lastDeliveryAt = Math.max(lastDeliveryAt, randomDeliveryTime());
            }
            runAt(
                    Math.max(now, lastDeliveryAt),
                    () -> {
                        isReset = true;
                        if (random.nextBoolean()) {
                            incoming.clear();
                        }
                        tryRead.run();
                    });
        }

        // ---- The end under test ----

        @Override
        public <A> void connect(
                SocketAddress address, A attachment, CompletionHandler<Void, ? super A> handler) {
            Acceptor acceptor = acceptors.get(address);
            if (acceptor == null && acceptors.containsKey(address)) {
                return;
            }
            runAt(
                    randomDeliveryTime(),
                    () -> {
                        if (open && acceptor != null && acceptors.get(address) == acceptor) {
                            remote = acceptor.accept(this);
                            handler.completed(null, attachment);
                        } else {
                            handler.failed(new ConnectException("refused"), attachment);
                        }
                    });
        }

        @Override
        public <A> void read(
                ByteBuffer buffer,
                long timeout,
                TimeUnit unit,
                A attachment,
                CompletionHandler<Integer, ? super A> handler) {
            isReading = true;
            failRead =
                    () -> {
                        isReading = false;
                        handler.failed(new AsynchronousCloseException(), attachment);
                    };
            tryRead =
                    () -> {
                        if (!isReading || !open) {
                            return;
                        }
                        if (!incoming.isEmpty()) {
                            isReading = false;
                            handler.completed(fill(buffer), attachment);
                        } else if (isReset) {
                            failRead.run();
                        } else if (atEndOfStream) {
                            isReading = false;
                            handler.completed(-1, attachment);
                        }
                    };
            runAt(now, tryRead);
        }

        /** Copies some of the received bytes, across segment borders or only part of a segment. */
        private int fill(ByteBuffer buffer) {
            int limit = Math.min(buffer.remaining(), 1 + random.nextInt(4000));
            int copied = 0;
            while (!incoming.isEmpty() && copied < limit) {
                Segment segment = incoming.poll();
                int length = Math.min(limit - copied, segment.bytes.length);
                buffer.put(segment.bytes, 0, length);
                copied += length;
                mustNotBeReused |= segment.preventsReuse.getAsBoolean();
                if (length < segment.bytes.length) {
                    byte[] remainder =
                            java.util.Arrays.copyOfRange(
                                    segment.bytes, length, segment.bytes.length);
                    incoming.addFirst(new Segment(remainder, segment.preventsReuse));
                }
            }
            return copied;
        }

        @Override
        public <A> void write(
                ByteBuffer buffer,
                long timeout,
                TimeUnit unit,
                A attachment,
                CompletionHandler<Integer, ? super A> handler) {
            check(
                    buffer.position() > 0 || !mustNotBeReused,
                    "a request is sent on a connection that must not be reused");
            isWriting = true;
            runAt(
                    now + maxWriteTime * random.nextDouble(),
                    () -> {
                        if (!open || isReset) {
                            handler.failed(new IOException("reset"), attachment);
                            return;
                        }
                        int length = Math.min(buffer.remaining(), 1 + random.nextInt(3000));
                        byte[] bytes = new byte[length];
                        buffer.get(bytes);
                        isWriting = buffer.hasRemaining();
                        lastPeerDeliveryAt = Math.max(lastPeerDeliveryAt, randomDeliveryTime());
                        runAt(lastPeerDeliveryAt, () -> remote.received(bytes));
                        handler.completed(length, attachment);
                    });
        }

        @Override
        public void close() {
            if (!open) {
                return;
            }
            open = false;
            if (isReading) {
                runAt(now, failRead);
            }
            if (remote != null) {
                lastPeerDeliveryAt = Math.max(lastPeerDeliveryAt, randomDeliveryTime());
                runAt(lastPeerDeliveryAt, remote::closed);
            }
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public AsynchronousSocketChannel shutdownOutput() {
            lastPeerDeliveryAt = Math.max(lastPeerDeliveryAt, randomDeliveryTime());
            runAt(lastPeerDeliveryAt, remote::closed);
            return this;
        }

        // ---- Not used by connections ----

        @Override
        public AsynchronousSocketChannel bind(SocketAddress local) {
            throw new UnsupportedOperationException();
        }

        @Override
        public <T> AsynchronousSocketChannel setOption(SocketOption<T> name, T value) {
            return this;
        }

        @Override
        public <T> T getOption(SocketOption<T> name) {
            return null;
        }

        @Override
        public Set<SocketOption<?>> supportedOptions() {
            return Set.of();
        }

        @Override
        public AsynchronousSocketChannel shutdownInput() {
            return this;
        }

        @Override
        public SocketAddress getRemoteAddress() {
            return null;
        }

        @Override
        public SocketAddress getLocalAddress() {
            return null;
        }

        @Override
        public Future<Void> connect(SocketAddress to) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Future<Integer> read(ByteBuffer into) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Future<Integer> write(ByteBuffer from) {
            throw new UnsupportedOperationException();
        }

        @Override
        public <A> void read(
                ByteBuffer[] into,
                int offset,
                int length,
                long span,
                TimeUnit unit,
                A with,
                CompletionHandler<Long, ? super A> then) {
            throw new UnsupportedOperationException();
        }

        @Override
        public <A> void write(
                ByteBuffer[] from,
                int offset,
                int length,
                long span,
                TimeUnit unit,
                A with,
                CompletionHandler<Long, ? super A> then) {
            throw new UnsupportedOperationException();
        }
    }
}
