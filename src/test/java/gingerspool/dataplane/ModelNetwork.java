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

    private record Event(double at, long serial, Runnable what) {}

    final SplittableRandom chance;
    private final Set<RequestSafeguard> without;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::at).thenComparingLong(Event::serial));
    private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
    private final Map<SocketAddress, Acceptor> acceptors = new HashMap<>();
    private boolean isRunning;
    private long serial;
    private double now = 1_000_000;
    private String fault;

    /** The loop comes to each event so much later than the runtime noticed it. */
    double noticedEarlierBy;

    ModelNetwork(long seed, Set<RequestSafeguard> without) {
        chance = new SplittableRandom(seed);
        this.without = without.isEmpty() ? EnumSet.noneOf(RequestSafeguard.class) : without;
    }

    void listen(SocketAddress at, Acceptor who) {
        acceptors.put(at, who);
    }

    /** Whoever connects there hears nothing. */
    void listenSilently(SocketAddress at) {
        acceptors.put(at, null);
    }

    void deafen(SocketAddress at) {
        acceptors.remove(at);
    }

    /** Notes the first thing that went wrong. */
    void check(boolean holds, String otherwise) {
        fault = holds || fault != null ? fault : otherwise + " at " + Math.round(now - 1_000_000);
    }

    String fault() {
        return fault;
    }

    // ---- Time ----

    void at(double when, Runnable what) {
        events.add(new Event(Math.max(now, when), serial++, what));
    }

    void run(double until) {
        while (!events.isEmpty() && events.peek().at <= until && fault == null) {
            Event next = events.poll();
            now = next.at;
            next.what.run();
        }
        now = Math.max(now, until);
    }

    @Override
    public void execute(Runnable what) {
        tasks.add(what);
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
    public Future<?> schedule(double span, Runnable what) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        at(
                now + span,
                () -> {
                    if (done.complete(null)) {
                        execute(what);
                    }
                });
        return done;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public double noticedAt() {
        return now - noticedEarlierBy;
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
    public boolean has(RequestSafeguard guard) {
        return !without.contains(guard);
    }

    private double shortly() {
        return now + 0.05 + 2 * chance.nextDouble();
    }

    private record Piece(byte[] bytes, BooleanSupplier doubtful) {}

    /** Our end of a connection; the other end sends, ends and resets by calls. */
    final class Channel extends AsynchronousSocketChannel {
        private Remote remote;
        private final ArrayDeque<Piece> incoming = new ArrayDeque<>();
        private double lastSent;
        private double lastWritten;
        private boolean open = true;
        private boolean ended;
        private boolean reset;
        private boolean reading;
        private Runnable failRead = () -> {};
        private Runnable tryRead = () -> {};

        /** Bytes that belong to no request were read here. */
        private boolean doubted;

        private boolean writing;

        /** Writes take so long each, at the most. */
        double slowness = 1;

        private Channel() {
            super(null);
        }

        // ---- The far end ----

        void join(Remote who) {
            remote = who;
        }

        void send(byte[] bytes) {
            send(bytes, () -> false);
        }

        void sendDoubtful(byte[] bytes) {
            send(bytes, () -> true);
        }

        /** An answer before the request was read whole: doubtful if it isn't written when read. */
        void sendEarly(byte[] bytes) {
            send(bytes, () -> writing);
        }

        /** Bytes come in the order sent; as they are read it is asked whether they are doubtful. */
        private void send(byte[] bytes, BooleanSupplier doubtful) {
            lastSent = Math.max(lastSent, shortly());
            at(
                    lastSent,
                    () -> {
                        if (open && !reset && bytes.length > 0) {
                            incoming.add(new Piece(bytes, doubtful));
                            tryRead.run();
                        }
                    });
        }

        void end() {
            lastSent = Math.max(lastSent, shortly());
            at(
                    lastSent,
                    () -> {
                        ended = true;
                        tryRead.run();
                    });
        }

        /** What was sent and not read yet may be lost with it. */
        void reset() {
            if (chance.nextBoolean()) {
                lastSent = Math.max(lastSent, shortly());
            }
            at(
                    Math.max(now, lastSent),
                    () -> {
                        reset = true;
                        if (chance.nextBoolean()) {
                            incoming.clear();
                        }
                        tryRead.run();
                    });
        }

        // ---- Our end ----

        @Override
        public <A> void connect(SocketAddress to, A with, CompletionHandler<Void, ? super A> then) {
            Acceptor acceptor = acceptors.get(to);
            if (acceptor == null && acceptors.containsKey(to)) {
                return;
            }
            at(
                    shortly(),
                    () -> {
                        if (open && acceptor != null && acceptors.get(to) == acceptor) {
                            remote = acceptor.accept(this);
                            then.completed(null, with);
                        } else {
                            then.failed(new ConnectException("refused"), with);
                        }
                    });
        }

        @Override
        public <A> void read(
                ByteBuffer into,
                long span,
                TimeUnit unit,
                A with,
                CompletionHandler<Integer, ? super A> then) {
            reading = true;
            failRead =
                    () -> {
                        reading = false;
                        then.failed(new AsynchronousCloseException(), with);
                    };
            tryRead =
                    () -> {
                        if (!reading || !open) {
                            return;
                        }
                        if (!incoming.isEmpty()) {
                            reading = false;
                            then.completed(fill(into), with);
                        } else if (reset) {
                            failRead.run();
                        } else if (ended) {
                            reading = false;
                            then.completed(-1, with);
                        }
                    };
            at(now, tryRead);
        }

        /** Takes some of what came: pieces run together or come apart. */
        private int fill(ByteBuffer into) {
            int most = Math.min(into.remaining(), 1 + chance.nextInt(4000));
            int taken = 0;
            while (!incoming.isEmpty() && taken < most) {
                Piece piece = incoming.poll();
                int n = Math.min(most - taken, piece.bytes.length);
                into.put(piece.bytes, 0, n);
                taken += n;
                doubted |= piece.doubtful.getAsBoolean();
                if (n < piece.bytes.length) {
                    byte[] rest = java.util.Arrays.copyOfRange(piece.bytes, n, piece.bytes.length);
                    incoming.addFirst(new Piece(rest, piece.doubtful));
                }
            }
            return taken;
        }

        @Override
        public <A> void write(
                ByteBuffer from,
                long span,
                TimeUnit unit,
                A with,
                CompletionHandler<Integer, ? super A> then) {
            check(
                    from.position() > 0 || !doubted,
                    "a request goes out on a connection on which a doubtful answer came");
            writing = true;
            at(
                    now + slowness * chance.nextDouble(),
                    () -> {
                        if (!open || reset) {
                            then.failed(new IOException("reset"), with);
                            return;
                        }
                        int n = Math.min(from.remaining(), 1 + chance.nextInt(3000));
                        byte[] bytes = new byte[n];
                        from.get(bytes);
                        writing = from.hasRemaining();
                        lastWritten = Math.max(lastWritten, shortly());
                        at(lastWritten, () -> remote.received(bytes));
                        then.completed(n, with);
                    });
        }

        @Override
        public void close() {
            if (!open) {
                return;
            }
            open = false;
            if (reading) {
                at(now, failRead);
            }
            if (remote != null) {
                lastWritten = Math.max(lastWritten, shortly());
                at(lastWritten, remote::closed);
            }
        }

        @Override
        public boolean isOpen() {
            return open;
        }

        @Override
        public AsynchronousSocketChannel shutdownOutput() {
            lastWritten = Math.max(lastWritten, shortly());
            at(lastWritten, remote::closed);
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
