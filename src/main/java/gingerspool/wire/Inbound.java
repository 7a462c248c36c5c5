package gingerspool.wire;

import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A connection that a client or a call-back came on: reads requests and writes an answer to each in
 * turn.
 */
public final class Inbound extends Connection {
    /** How long a peer may take over one message, an answer, or its own end. */
    private static final double STALLED = 10_000;

    private static final double IDLE = 120_000;
    private static final double LINGER = 1000;
    private static final int HEAD_MOST = 16 * 1024;
    private static final int BODY_MOST = 64 * 1024;

    /** What the buffer holds beyond the longest head. */
    private static final int LINE = 16 * 1024;

    private static final byte[] GO_ON =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    /** Who takes the requests. */
    public interface Handler {
        /** A whole request; the connection is then owed one answer. */
        void asked(Inbound from, Message request);

        /** It has become free to be closed, or is so no longer. */
        void idle(Inbound connection, boolean idle);

        /** What came could not be read, and is answered so. */
        void unreadable(BadMessage fault);

        void closed(Inbound connection);
    }

    private enum State {
        IDLE,
        READING,
        ASKED,
        ANSWERING,
        ENDING
    }

    private final Handler clients;
    private double idle;
    private final double stalled;

    /** A head must have come within this span of its first byte; 0: within that of a message. */
    private double headWithin;

    private int headMost;
    private int bodyMost;
    private State state = State.IDLE;
    private Message message;
    private boolean lastAnswer;
    private boolean lastRequest;
    private Runnable whenGone;
    private double since;
    private boolean callBacks;

    /** A whole request has come on it. */
    private boolean used;

    public Inbound(EventLoop loop, AsynchronousSocketChannel channel, Handler clients) {
        this(loop, channel, clients, IDLE, STALLED);
    }

    /** With so long for it to be idle, and for one message, answer or end to take. */
    public Inbound(
            EventLoop loop,
            AsynchronousSocketChannel channel,
            Handler clients,
            double idle,
            double stalled) {
        this(loop, channel, clients, idle, stalled, HEAD_MOST, BODY_MOST);
    }

    /**
     * With so long, in milliseconds, for it to be idle, and for one message, answer or end to take;
     * and with so many bytes at the most for the head and the body of a request.
     */
    public Inbound(
            EventLoop loop,
            AsynchronousSocketChannel channel,
            Handler clients,
            double idle,
            double stalled,
            int headMost,
            int bodyMost) {
        super(loop, channel, headMost + LINE);
        this.clients = clients;
        this.idle = idle;
        this.stalled = stalled;
        this.headMost = headMost;
        this.bodyMost = bodyMost;
    }

    /**
     * Other limits from now on: milliseconds for it to be idle and for the head of a request, which
     * is answered with 408 where it takes longer; bytes of head and body, from the next request on.
     */
    public void limits(double idle, double headWithin, int headMost, int bodyMost) {
        this.idle = idle;
        this.headWithin = headWithin;
        this.headMost = headMost;
        this.bodyMost = bodyMost;
        most(headMost + LINE);
        if (state == State.IDLE) {
            message = Message.request(headMost, bodyMost);
            alarm(Math.max(1, idle - idleFor()), this::close);
        }
    }

    /** Begins to read; separate from making it so that the owner knows it first. */
    public void start() {
        rest();
        readOn();
    }

    /** What to do if the peer goes away before its answer. */
    public void whenGone(Runnable then) {
        whenGone = then;
    }

    private void rest() {
        state = State.IDLE;
        message = Message.request(headMost, bodyMost);
        since = loop.now();
        alarm(idle, this::close);
        clients.idle(this, true);
    }

    @Override
    int received(byte[] b, int from, int to) {
        switch (state) {
            case ENDING -> {
                return to - from;
            }
            case ASKED, ANSWERING -> {
                return 0;
            }
            default -> {}
        }
        if (state == State.IDLE) {
            state = State.READING;
            alarm(headWithin > 0 ? headWithin : stalled, this::headTooLate);
            clients.idle(this, false);
        }
        try {
            boolean head = message.headRead();
            int taken = message.take(b, from, to);
            if (message.done()) {
                state = State.ASKED;
                used = true;
                alarm(0, null);
                lastRequest = !message.keepsAlive();
                clients.asked(this, message);
            } else if (!head && message.headRead()) {
                alarm(stalled, this::close);
                if (message.wantsContinue()) {
                    write(GO_ON);
                }
            }
            return taken;
        } catch (BadMessage e) {
            state = State.ASKED;
            lastRequest = true;
            clients.unreadable(e);
            answer(e.status, List.of(), e.getMessage());
            return to - from;
        }
    }

    private void headTooLate() {
        if (headWithin == 0) {
            close();
            return;
        }
        state = State.ASKED;
        lastRequest = true;
        BadMessage late = new BadMessage(408, "the head took too long");
        clients.unreadable(late);
        answer(late.status, List.of(), late.getMessage());
    }

    public void answer(int status, List<String> fields, String text) {
        answer(status, fields, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Answers the request at hand, once; an answer to a peer that has gone is dropped. */
    public void answer(int status, List<String> fields, byte[] body) {
        if (!isOpen() || state != State.ASKED) {
            return;
        }
        state = State.ANSWERING;
        whenGone = null;
        alarm(stalled, this::close);
        lastRequest |= lastAnswer;
        StringBuilder head =
                new StringBuilder(160)
                        .append("HTTP/1.1 ")
                        .append(status)
                        .append(' ')
                        .append(reason(status))
                        .append("\r\nContent-Length: ")
                        .append(body.length)
                        .append("\r\n");
        for (String f : fields) {
            head.append(f).append("\r\n");
        }
        head.append(lastRequest ? "Connection: close\r\n\r\n" : "\r\n");
        write(joined(head, body));
    }

    /** A message of this head and body. */
    public static byte[] joined(CharSequence head, byte[] body) {
        byte[] top = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[top.length + body.length];
        System.arraycopy(top, 0, all, 0, top.length);
        System.arraycopy(body, 0, all, top.length, body.length);
        return all;
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 307 -> "Temporary Redirect";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 408 -> "Request Timeout";
            case 412 -> "Precondition Failed";
            case 405 -> "Method Not Allowed";
            case 409 -> "Conflict";
            case 410 -> "Gone";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 500 -> "Internal Server Error";
            case 501 -> "Not Implemented";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 504 -> "Gateway Timeout";
            default -> "Status";
        };
    }

    @Override
    void sent() {
        if (state != State.ANSWERING) {
            return;
        }
        if (lastRequest) {
            // Guards the answer: closing with something unread would reset it on its way.
            state = State.ENDING;
            alarm(LINGER, this::close);
            endOutput();
            takeIn();
        } else {
            rest();
            takeIn();
        }
        readOn();
    }

    /** From now on each answer is the last one, or is so no longer. */
    public void endAfterAnswer(boolean last) {
        lastAnswer = last;
    }

    /**
     * A worker's call-backs come on it, not a client's tasks; its next answer is the last or not.
     */
    public void carriesCallBacks(boolean last) {
        callBacks = true;
        lastAnswer = last;
    }

    public boolean hasCallBacks() {
        return callBacks;
    }

    /**
     * Closes it if it has been idle for so long, or for `fresh` if no request has come on it yet: a
     * client may send a request again that crosses the close of a connection in use, but not the
     * first one on a new connection. Guards against a loop that is late, which sees the time that
     * has passed before it sees what has come meanwhile: that is looked at first.
     */
    public void closeIfIdle(double usedFor, double fresh) {
        loop.schedule(
                0,
                () -> {
                    if (state == State.IDLE && idleFor() >= (used ? usedFor : fresh)) {
                        close();
                    }
                });
    }

    /** Whether nothing is lost with it: it is between requests, or has had none for so long. */
    boolean makesRoom(double fresh) {
        return state == State.IDLE && (used || idleFor() >= fresh);
    }

    /**
     * How long it has been idle, in milliseconds, as far as the loop was on time to see what came.
     */
    public double idleFor() {
        return loop.now() - Math.max(since, loop.onTimeSince());
    }

    @Override
    void closed(boolean allWritten) {
        clients.closed(this);
        if (whenGone != null) {
            whenGone.run();
        }
    }
}
