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
 * The other process: calls on its management address, in order on each line, each with its token.
 */
final class Peer {
    /** A line at rest is closed sooner than the other side closes it, in milliseconds. */
    private static final double IDLE_TIMEOUT_MS = 1000;

    private static final int MAX_QUEUED_CALLS = 2000;

    /** What an answer may hold at the most, in bytes. */
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

    /** How a call ended: its status and body, or status 0 where there was no answer. */
    interface Completion {
        void completed(int status, byte[] body);
    }

    private final InetSocketAddress socketAddress;
    private final String token;
    private final String ownAddress;

    /** Commands told to it so far. */
    long commandsSent;

    /** Which of its requests for the state these commands follow. */
    long stateRequestNumber;

    /** It keeps a call open, whose end tells its own. */
    boolean holdsCall;

    private final EventLoop loop;
    private final double connectTimeoutMs;
    private boolean closed;

    /** Commands in their order, and call-backs, which need none. */
    final CallQueue ordered = new CallQueue(1);

    final CallQueue callBacks = new CallQueue(2);
    final CallQueue hold = new CallQueue(1);
    private final Set<Outbound> openConnections = new HashSet<>();

    /** Own is where this process itself is called. */
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

    /** What calls to it must carry. */
    String token() {
        return token;
    }

    /** Calls that go out in turn on a few connections. */
    final class CallQueue {
        private final int maxConnections;
        private final Deque<Call> queued = new ArrayDeque<>();
        private final Deque<Outbound> idle = new ArrayDeque<>();
        private int inFlight;

        CallQueue(int maxConnections) {
            this.maxConnections = maxConnections;
        }

        /** Patience 0: the answer may take for ever, which only its connection's end ends. */
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
         * All calls may be made twice, so one that breaks on a connection that had rested goes once
         * more.
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
                            throw new BadMessage(400, "an answer too long");
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

    /** Ends all connections to it; calls under way end without an answer. */
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
