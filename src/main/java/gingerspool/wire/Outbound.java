package gingerspool.wire;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.AsynchronousSocketChannel;

/**
 * A connection that we opened: carries one request at a time, and never sends one again by itself.
 */
public final class Outbound extends Connection {
    /** Whose request it carries. */
    public interface Caller {
        /**
         * Whether this answer is to our request; one that is not is passed over, and the next
         * awaited.
         */
        default boolean isMine(Message answer) {
            return true;
        }

        /** Whether an answer whose length is not told may count as whole when the peer closes. */
        default boolean takesUnframed() {
            return true;
        }

        /** Whether the connection may be used again after this answer to our request. */
        default boolean mayKeep(Message answer) {
            return true;
        }

        /** The whole answer has come; called when the connection may be used again, or not. */
        void answered(Message answer);

        /** The connection ended first; tells whether the request's last byte had been written. */
        void broke(boolean allWritten);
    }

    /** Who keeps it between requests. */
    public interface Owner {
        void free(Outbound connection);

        /** It is up, and there was nothing to send. */
        default void up(Outbound connection) {}

        /** Its peer ended it when a request came on it after so long a rest; closed() follows. */
        void brokeAfterRest(double rested);

        void closed(Outbound connection);
    }

    private static final int ANSWER_MOST = 64 * 1024;

    private final Owner owner;
    private boolean up;
    private byte[] waiting;
    private boolean begun;
    private boolean whole;
    private Caller caller;
    private double patience;

    /**
     * When its last answer had come, or NaN; and how long it had rested before the request at hand.
     */
    private double freeSince = Double.NaN;

    private double rested = Double.NaN;

    /** An answer came on it that was to none of our requests. */
    private boolean surplus;

    private Message.Sink sink;
    private Message answer;
    private final int bodyMost;

    /** How long its peer keeps it at rest, as last told; without end if never. */
    private double keptFor = Double.POSITIVE_INFINITY;

    private Outbound(EventLoop loop, AsynchronousSocketChannel channel, Owner owner, int bodyMost) {
        super(loop, channel);
        this.owner = owner;
        this.bodyMost = bodyMost;
    }

    /** Starts to connect; fails at once only where there is no descriptor left. */
    public static Outbound open(EventLoop loop, SocketAddress to, double within, Owner owner)
            throws IOException {
        return open(loop, to, within, owner, ANSWER_MOST);
    }

    /** The same, for answers whose body has no more bytes than this. */
    public static Outbound open(
            EventLoop loop, SocketAddress to, double within, Owner owner, int bodyMost)
            throws IOException {
        Outbound made = new Outbound(loop, loop.channel(), owner, bodyMost);
        made.connect(to, within, made::connected);
        return made;
    }

    /**
     * Sends this request as soon as it is up; closes after so long a wait for the answer, 0 for
     * never.
     */
    public void ask(byte[] request, double patience, Caller from) {
        ask(request, patience, from, null);
    }

    /** The same; the answer's body goes to the sink. */
    public void ask(byte[] request, double patience, Caller from, Message.Sink sink) {
        caller = from;
        rested = restedFor();
        this.patience = patience;
        this.sink = sink;
        answer = Message.answer(sink, bodyMost);
        begun = false;
        whole = false;
        waiting = request;
        if (up) {
            begin();
        }
    }

    private void connected() {
        up = true;
        if (waiting != null) {
            begin();
        } else {
            owner.up(this);
        }
    }

    private void begin() {
        alarm(patience, this::tooLate);
        byte[] request = waiting;
        waiting = null;
        begun = true;
        write(request);
    }

    /** Whether the first byte of the request at hand has been written. */
    public boolean hasBegun() {
        return begun;
    }

    /** Closes itself unless it is used again before this span ends; 0: never. */
    public void closeAfter(double span) {
        alarm(span, this::close);
    }

    public double keptFor() {
        return keptFor;
    }

    /** The span of "timeout=SECONDS" in milliseconds; the other where that isn't told. */
    private static double keptFor(String field, double other) {
        int at = field == null ? -1 : field.indexOf("timeout=");
        try {
            return at < 0
                    ? other
                    : 1000.0 * Message.number(field.substring(at + 8).split("[,; ]", 2)[0], 10);
        } catch (BadMessage e) {
            return other;
        }
    }

    /** How long it has carried nothing, or NaN if it never has carried anything. */
    public double restedFor() {
        return loop.now() - freeSince;
    }

    /** The answer takes too long: the connection is ours to end, whatever it had rested. */
    private void tooLate() {
        rested = Double.NaN;
        close();
    }

    /** Gives the request up by closing; its caller hears no more. */
    public void drop() {
        caller = null;
        close();
    }

    /** The status of the answer that is coming in. */
    int status() {
        return answer.status();
    }

    @Override
    void sent() {
        whole = true;
        finish();
    }

    @Override
    int received(byte[] b, int from, int to) {
        if (answer == null) {
            // Nothing was asked, so nothing may come.
            if (loop.isEnabled(RequestSafeguard.UNASKED_BYTES_CLOSE)) {
                close();
            }
            return to - from;
        }
        try {
            int taken = answer.take(b, from, to);
            if (answer.done() && answer.status() < 200) {
                answer = Message.answer(sink, bodyMost);
            } else if (answer.done() && caller != null && !caller.isMine(answer)) {
                surplus |= loop.isEnabled(RequestSafeguard.SURPLUS_RESPONSE_CLOSES);
                answer = Message.answer(sink, bodyMost);
            } else {
                // Guards the next request: what is behind a whole answer belongs to none.
                surplus |=
                        answer.done()
                                && taken < to - from
                                && loop.isEnabled(RequestSafeguard.SURPLUS_BYTES_CLOSE);
                finish();
            }
            return taken;
        } catch (BadMessage e) {
            close();
            return to - from;
        }
    }

    /**
     * An answer counts once the request is written whole; one that comes sooner ends the
     * connection.
     */
    private void finish() {
        if (answer == null || !answer.done()) {
            return;
        }
        Message done = answer;
        Caller to = caller;
        answer = null;
        caller = null;
        boolean inTime = whole || !loop.isEnabled(RequestSafeguard.EARLY_RESPONSE_CLOSES);
        boolean keep = inTime && !surplus && done.keepsAlive() && (to == null || to.mayKeep(done));
        if (keep) {
            freeSince = loop.now();
            keptFor = keptFor(done.field("keep-alive"), keptFor);
            owner.free(this);
        } else {
            close();
        }
        if (to != null) {
            to.answered(done);
        }
    }

    @Override
    void closed(boolean allWritten) {
        if (caller != null && begun && !answer.headRead() && rested >= 0) {
            owner.brokeAfterRest(rested);
        }
        owner.closed(this);
        Caller to = caller;
        caller = null;
        if (to == null) {
            return;
        }
        if (answer != null && answer.headRead() && isWholeAtClose(to)) {
            to.answered(answer);
        } else {
            to.broke(begun && allWritten);
        }
    }

    /** Guards callers: an answer that ends with its connection may be another's, or cut. */
    private boolean isWholeAtClose(Caller to) {
        boolean framed = !to.takesUnframed() && loop.isEnabled(RequestSafeguard.LENGTH_TOLD);
        boolean ends = !framed && answer.endsWithClose();
        return to.isMine(answer) && (ends || !loop.isEnabled(RequestSafeguard.WHOLE_RESPONSE));
    }
}
