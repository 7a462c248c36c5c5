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
 * A network and a clock in memory: the channels that connections of the real code are given, with
 * pieces of any size, resets and delays by seed. Time passes only from event to event.
 */
final class ModelNetwork implements EventLoop {
    /** The far end of a channel. */
    interface Remote {
        void received(byte[] bytes);

        /** Our side has closed. */
        void closed();
    }

    /** Who takes connections at an address. */
    interface Acceptor {
        Remote accept(Channel channel);
    }

    private record Event(double at, long serial, Runnable task) {}

    final SplittableRandom random;
    private final Set<RequestSafeguard> disabledSafeguards;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::at).thenComparingLong(Event::serial));
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final Map<SocketAddress, Acceptor> acceptors = new HashMap<>();
    private boolean isRunning;
    private long nextSerial;
    private double now = 1_000_000;
    private String violation;

    /** The loop comes to each event so much later than the runtime noticed it. */
    double loopDelay;

    ModelNetwork(long seed, Set<RequestSafeguard> disabled) {
        random = new SplittableRandom(seed);
        this.disabledSafeguards =
                disabled.isEmpty() ? EnumSet.noneOf(RequestSafeguard.class) : disabled;
    }

    void listen(SocketAddress address, Acceptor acceptor) {
        acceptors.put(address, acceptor);
    }

    /** Whoever connects there hears nothing. */
    void listenSilently(SocketAddress address) {
        acceptors.put(address, null);
    }

    void stopListening(SocketAddress address) {
        acceptors.remove(address);
    }

    /** Notes the first thing that went wrong. */
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

    void runAt(double time, Runnable task) {
        events.add(new Event(Math.max(now, time), nextSerial++, task));
    }

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
                check(false, "a task broke: " + e);
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
    public boolean has(RequestSafeguard safeguard) {
        return !disabledSafeguards.contains(safeguard);
    }

    private double randomDeliveryTime() {
        return now + 0.05 + 2 * random.nextDouble();
    }

    private record Segment(byte[] bytes, BooleanSupplier preventsReuse) {}

    /** Our end of a connection; the other end sends, ends and resets by calls. */
    final class Channel extends AsynchronousSocketChannel {
        private Remote remote;
        private final ArrayDeque<Segment> incoming = new ArrayDeque<>();
        private double lastDeliveryAt;
        private double lastPeerDeliveryAt;
        private boolean open = true;
        private boolean atEndOfStream;
        private boolean isReset;
        private boolean isReading;
        private Runnable failRead = () -> {};
        private Runnable tryRead = () -> {};

        /** Bytes that belong to no request were read here. */
        private boolean mustNotBeReused;

        private boolean isWriting;

        /** Writes take so long each, at the most. */
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

        void sendPreventingReuse(byte[] bytes) {
            send(bytes, () -> true);
        }

        /** An answer before the request was read whole: doubtful if it isn't written when read. */
        void sendEarly(byte[] bytes) {
            send(bytes, () -> isWriting);
        }

        /** Bytes come in the order sent; as they are read it is asked whether they are doubtful. */
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

        /** What was sent and not read yet may be lost with it. */
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

        // ---- Our end ----

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

        /** Takes some of what came: pieces run together or come apart. */
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
                    "a request goes out on a connection on which a doubtful answer came");
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

        // ---- What connections never ask for ----

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
