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
    private static final double REST = 1000;

    private static final int MOST_WAITING = 2000;

    /** What an answer may hold at the most, in bytes. */
    private static final int ANSWER_MOST = 8 * 1024 * 1024;

    /** How a call ended: its status and body, or status 0 where there was no answer. */
    interface Reply {
        void came(int status, byte[] body);
    }

    private final InetSocketAddress at;
    private final String token;
    private final String own;

    /** Commands told to it so far. */
    long told;

    /** Which of its requests for the state these commands follow. */
    long ask;

    /** It keeps a call open, whose end tells its own. */
    boolean holds;

    private final EventLoop loop;
    private final double connectWithin;
    private boolean closed;

    /** Commands in their order, and call-backs, which need none. */
    final Line commands = new Line(1);

    final Line callBacks = new Line(2);
    final Line held = new Line(1);
    private final Set<Outbound> open = new HashSet<>();

    /** Own is where this process itself is called. */
    Peer(
            EventLoop loop,
            InetSocketAddress at,
            String token,
            InetSocketAddress own,
            double connectWithin) {
        this.loop = loop;
        this.at = at;
        this.token = token;
        this.own = Address.text(own);
        this.connectWithin = connectWithin;
    }

    private record Call(byte[] request, double patience, Reply reply) {}

    private byte[] request(String path, byte[] body) {
        return Inbound.joined(
                "POST /v1/link/"
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + Address.text(at)
                        + "\r\nX-Token: "
                        + token
                        + "\r\nX-From: "
                        + own
                        + "\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n",
                body);
    }

    String name() {
        return Address.text(at);
    }

    /** What calls to it must carry. */
    String token() {
        return token;
    }

    /** Calls that go out in turn on a few connections. */
    final class Line {
        private final int most;
        private final Deque<Call> waiting = new ArrayDeque<>();
        private final Deque<Outbound> free = new ArrayDeque<>();
        private int busy;

        Line(int most) {
            this.most = most;
        }

        /** Patience 0: the answer may take for ever, which only its connection's end ends. */
        void call(String path, byte[] body, double patience, Reply reply) {
            if (closed || waiting.size() >= MOST_WAITING) {
                loop.execute(() -> reply.came(0, new byte[0]));
                return;
            }
            waiting.add(new Call(request(path, body), patience, reply));
            next();
        }

        private void next() {
            while (!closed && busy < most && !waiting.isEmpty()) {
                Call call = waiting.poll();
                busy++;
                begin(call, true);
            }
        }

        /**
         * All calls may be made twice, so one that breaks on a connection that had rested goes once
         * more.
         */
        private void begin(Call call, boolean onRested) {
            Outbound connection = onRested ? free.poll() : null;
            boolean rested = connection != null;
            try {
                connection = rested ? connection : open(this);
            } catch (IOException e) {
                loop.execute(() -> ended(call, 0, new byte[0]));
                return;
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            double patience = call.patience > 0 ? call.patience + connectWithin : 0;
            connection.ask(
                    call.request,
                    patience,
                    new Outbound.Caller() {
                        @Override
                        public void answered(Message answer) {
                            ended(call, answer.status(), body.toByteArray());
                        }

                        @Override
                        public void broke(boolean allWritten) {
                            if (rested && !closed) {
                                begin(call, false);
                            } else {
                                ended(call, 0, new byte[0]);
                            }
                        }
                    },
                    (b, from, to) -> {
                        if (body.size() + to - from > ANSWER_MOST) {
                            throw new BadMessage(400, "an answer too long");
                        }
                        body.write(b, from, to - from);
                    });
        }

        private void ended(Call call, int status, byte[] body) {
            busy--;
            call.reply.came(status, body);
            next();
        }
    }

    private Outbound open(Line line) throws IOException {
        Outbound made =
                Outbound.open(
                        loop,
                        at,
                        connectWithin,
                        new Outbound.Owner() {
                            @Override
                            public void free(Outbound connection) {
                                if (closed) {
                                    connection.close();
                                } else {
                                    line.free.push(connection);
                                    connection.closeAfter(REST);
                                }
                            }

                            @Override
                            public void brokeAfterRest(double rested) {}

                            @Override
                            public void closed(Outbound connection) {
                                open.remove(connection);
                                line.free.remove(connection);
                            }
                        });
        open.add(made);
        return made;
    }

    /** Ends all connections to it; calls under way end without an answer. */
    void close() {
        closed = true;
        Set.copyOf(open).forEach(Outbound::close);
        for (Line line : new Line[] {commands, callBacks, held}) {
            for (Call c = line.waiting.poll(); c != null; c = line.waiting.poll()) {
                c.reply.came(0, new byte[0]);
            }
        }
    }
}
