package gingerspool.handover;

import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import gingerspool.wire.Outbound;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Client for the hand-over calls of one other process, the predecessor or the successor. Calls go
 * to its management address and carry its token; each {@link CallQueue} sends its calls in order.
 *
 * <p>Thread: the event loop.
 */
final class Peer {
    /** Idle connections are closed before the other side closes them. */
    private static final double IDLE_TIMEOUT_MS = 1000;

    private static final int MAX_QUEUED_CALLS = 2000;

    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    /**
     * Called once when a call has ended: with status and body of the answer, or with {@link
     * CallStatus#NO_ANSWER} and an empty body.
     */
    interface Completion {
        void completed(int status, byte[] body);
    }

    private final InetSocketAddress socketAddress;
    private final String token;
    private final String ownAddress;

    /** Number of operators' commands sent to it so far. */
    long commandsSent;

    /** The number of its state request that these commands follow; 0 for a predecessor. */
    long stateRequestNumber;

    /** Whether it keeps a `hold` call open; the end of that call shows that the process ended. */
    boolean holdsCall;

    private final EventLoop loop;
    private final double connectTimeoutMs;
    private boolean closed;

    /** All calls whose order matters, commands among them. */
    final CallQueue ordered = new CallQueue(1);

    /** Workers' call-backs, which need no order. */
    final CallQueue callBacks = new CallQueue(2);

    /** The one call that stays open until the other process ends. */
    final CallQueue hold = new CallQueue(1);

    private final Set<Outbound> openConnections = new HashSet<>();

    /**
     * @param token the token that the other process requires on calls
     * @param ownAddress the management address of this process, by which the other one calls back
     * @param connectTimeoutMs added to the time-out of each call
     */
    Peer(
            EventLoop loop,
            InetSocketAddress socketAddress,
            String token,
            InetSocketAddress ownAddress,
            double connectTimeoutMs) {
        this.loop = loop;
        this.socketAddress = socketAddress;
        this.token = token;
        this.ownAddress = Address.text(ownAddress);
        this.connectTimeoutMs = connectTimeoutMs;
    }

    private record Call(byte[] request, double timeoutMs, Completion completion) {}

    private byte[] request(String path, byte[] body) {
        return Inbound.joined(
                "POST /v1/link/"
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + Address.text(socketAddress)
                        + "\r\nX-Token: "
                        + token
                        + "\r\nX-From: "
                        + ownAddress
                        + "\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n",
                body);
    }

    String address() {
        return Address.text(socketAddress);
    }

    /** The token that calls to the other process must carry. */
    String token() {
        return token;
    }

    /** Sends calls in order over a limited number of connections. */
    final class CallQueue {
        private final int maxConnections;
        private final Deque<Call> queued = new ArrayDeque<>();
        private final Deque<Outbound> idle = new ArrayDeque<>();
        private int inFlight;

        CallQueue(int maxConnections) {
            this.maxConnections = maxConnections;
        }

        /**
         * Queues a call. With time-out 0 the call stays open until it is answered or its connection
         * ends. Ends without an answer if the peer was closed or too many calls are queued.
         */
        void call(String path, byte[] body, double timeoutMs, Completion completion) {
            if (closed || queued.size() >= MAX_QUEUED_CALLS) {
                loop.execute(() -> completion.completed(0, new byte[0]));
                return;
            }
            queued.add(new Call(request(path, body), timeoutMs, completion));
            sendNext();
        }

        private void sendNext() {
            while (!closed && inFlight < maxConnections && !queued.isEmpty()) {
                Call call = queued.poll();
                inFlight++;
                send(call, true);
            }
        }

        /**
         * Sends the call; if it fails on a reused idle connection, sends it once more on a new one.
         * All calls are safe to repeat.
         */
        private void send(Call call, boolean mayReuse) {
            Outbound connection = mayReuse ? idle.poll() : null;
            boolean reused = connection != null;
            try {
                connection = reused ? connection : openConnection(this);
            } catch (IOException e) {
                loop.execute(() -> completed(call, 0, new byte[0]));
                return;
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            double timeoutMs = call.timeoutMs > 0 ? call.timeoutMs + connectTimeoutMs : 0;
            connection.ask(
                    call.request,
                    timeoutMs,
                    new Outbound.Caller() {
                        @Override
                        public void answered(Message answer) {
                            completed(call, answer.status(), body.toByteArray());
                        }

                        @Override
                        public void broke(boolean allWritten) {
                            if (reused && !closed) {
                                send(call, false);
                            } else {
                                completed(call, 0, new byte[0]);
                            }
                        }
                    },
                    (bytes, from, to) -> {
                        if (body.size() + to - from > MAX_ANSWER_BYTES) {
                            throw new BadMessage(400, "answer body too long");
                        }
                        body.write(bytes, from, to - from);
                    });
        }

        private void completed(Call call, int status, byte[] body) {
            inFlight--;
            call.completion.completed(status, body);
            sendNext();
        }
    }

    private Outbound openConnection(CallQueue queue) throws IOException {
        Outbound connection =
                Outbound.open(
                        loop,
                        socketAddress,
                        connectTimeoutMs,
                        new Outbound.Owner() {
                            @Override
                            public void free(Outbound connection) {
                                if (closed) {
                                    connection.close();
                                } else {
                                    queue.idle.push(connection);
                                    connection.closeAfter(IDLE_TIMEOUT_MS);
                                }
                            }

                            @Override
                            public void brokeAfterRest(double idleMs) {}

                            @Override
                            public void closed(Outbound connection) {
                                openConnections.remove(connection);
                                queue.idle.remove(connection);
                            }
                        });
        openConnections.add(connection);
        return connection;
    }

    /** Closes all connections; calls queued or in flight complete without an answer. */
    void close() {
        closed = true;
        Set.copyOf(openConnections).forEach(Outbound::close);
        for (CallQueue queue : new CallQueue[] {ordered, callBacks, hold}) {
            for (Call call = queue.queued.poll(); call != null; call = queue.queued.poll()) {
                call.completion.completed(0, new byte[0]);
            }
        }
    }
}
