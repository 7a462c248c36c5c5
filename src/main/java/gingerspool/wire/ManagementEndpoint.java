package gingerspool.wire;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Where operators' calls come in: reads a call, checks it whole, hands it to the Office and
 * answers; decides nothing. One call to a connection; only calls that the Office takes for itself
 * may keep theirs.
 */
public final class ManagementEndpoint implements Inbound.Handler, Listener.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(ManagementEndpoint.class);

    /** How long a caller may take over one call, and over its end, in milliseconds. */
    private static final double PATIENCE = 2000;

    private static final int ID_MOST = 128;
    private static final String WORKERS = "/v1/workers/";

    /** How a call ended. */
    public enum Answer {
        YES(200, "yes"),
        UNKNOWN(404, "no such worker"),
        NO(503, "not now");

        private final int status;
        private final String text;

        Answer(int status, String text) {
            this.status = status;
            this.text = text;
        }
    }

    /** Who is told how a call ended, once. */
    public interface Reply {
        /** The earliest time at which the operator may have called, on the loop's clock. */
        double calledFrom();

        void answer(Answer how);
    }

    /** Who carries calls out. */
    public interface Operations {
        /** Whether this process takes clients. */
        boolean takesClients();

        /** Nothing more goes to the worker of this name; or it is put back. */
        void suspend(String worker, boolean suspended, Reply reply);

        /** The scheduler is to be emptied, or to take clients again. */
        void drain(boolean drained, Reply reply);

        /** Whether this request is for the Office itself, which then answers it. */
        boolean takes(Inbound from, Message request);
    }

    private final EventLoop loop;
    private final Operations operations;
    private final int most;
    private final Listener listener;

    /** Those without a whole call, the longest here first, and all. */
    private final Set<Inbound> waiting = new LinkedHashSet<>();

    private final Set<Inbound> all = new LinkedHashSet<>();

    /** Those that have their answer and are to be closed by their callers. */
    private final Set<Inbound> leaving = new LinkedHashSet<>();

    private int answered;
    private int refused;
    private int stalled;

    /** Listens at once; holds so many connections at the most. */
    public ManagementEndpoint(EventLoop loop, SocketAddress at, int most, Operations operations)
            throws IOException {
        this.loop = loop;
        this.operations = operations;
        this.most = most;
        listener = new Listener(loop, at, this);
    }

    public SocketAddress address() throws IOException {
        return listener.address();
    }

    public void open() {
        listener.acceptOn();
    }

    public void close() {
        listener.close();
    }

    /** Counts since the last call. */
    public void summary(LoggingEventBuilder line) {
        if (answered + refused + stalled > 0) {
            line.addKeyValue("calls_yes", answered)
                    .addKeyValue("calls_no", refused)
                    .addKeyValue("calls_stalled", stalled);
        }
        answered = 0;
        refused = 0;
        stalled = 0;
    }

    // ---- Connections ----

    /**
     * Guards the calls against silent callers: who has its answer makes room, then who has said
     * nothing whole for longest.
     */
    @Override
    public boolean hasRoom() {
        while (all.size() >= most && makesRoom()) {}
        return all.size() < most;
    }

    private boolean makesRoom() {
        Set<Inbound> from = leaving.isEmpty() ? waiting : leaving;
        if (from.isEmpty()) {
            return false;
        }
        stalled += from == waiting ? 1 : 0;
        from.iterator().next().close();
        return true;
    }

    @Override
    public void outOfDescriptors() {
        makesRoom();
    }

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        accepted(channel, loop.now());
    }

    @Override
    public void accepted(AsynchronousSocketChannel channel, double letInFrom) {
        Inbound connection = new Inbound(loop, channel, this, PATIENCE, PATIENCE);
        connection.mayHoldSince(letInFrom);
        all.add(connection);
        waiting.add(connection);
        connection.start();
    }

    /** What is idle or half read stays among those waiting: neither is a whole call. */
    @Override
    public void idle(Inbound connection, boolean is) {
        if (is && all.contains(connection)) {
            waiting.add(connection);
        }
    }

    @Override
    public void closed(Inbound connection) {
        all.remove(connection);
        waiting.remove(connection);
        leaving.remove(connection);
        listener.acceptOn();
    }

    @Override
    public void unreadable(BadMessage fault) {
        refused++;
        LOG.atDebug()
                .addKeyValue("status", fault.status)
                .addKeyValue("why", fault.getMessage())
                .log("management.rejected");
    }

    // ---- Calls ----

    @Override
    public void asked(Inbound from, Message request) {
        waiting.remove(from);
        if (operations.takes(from, request)) {
            return;
        }
        from.endAfterAnswer(true);
        try {
            call(from, request);
        } catch (BadMessage e) {
            unreadable(e);
            answer(from, e.status, e.field == null ? List.of() : List.of(e.field), e.getMessage());
        }
    }

    private void call(Inbound from, Message request) throws BadMessage {
        String target = request.target();
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        switch (path) {
            case "/v1/readyz" -> {
                ClientEndpoint.allow(request, "GET");
                reply(from, path).answer(operations.takesClients() ? Answer.YES : Answer.NO);
            }
            case "/v1/scheduler/drain", "/v1/scheduler/activate" -> {
                ClientEndpoint.allow(request, "POST");
                operations.drain(path.endsWith("drain"), reply(from, path));
            }
            default -> ofWorker(from, request, path);
        }
    }

    private void ofWorker(Inbound from, Message request, String path) throws BadMessage {
        boolean suspended = path.endsWith("/suspend");
        String last = suspended ? "/suspend" : "/resume";
        if (!path.startsWith(WORKERS)
                || !path.endsWith(last)
                || path.length() < WORKERS.length() + last.length()) {
            throw new BadMessage(404, "no such path");
        }
        ClientEndpoint.allow(request, "POST");
        String id = plain(path.substring(WORKERS.length(), path.length() - last.length()));
        if (id.isEmpty() || id.length() > ID_MOST) {
            throw new BadMessage(404, "no such worker");
        }
        operations.suspend(id, suspended, reply(from, path));
    }

    /** A part of a path without its percent signs. */
    static String plain(String part) throws BadMessage {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(part.length());
        int i = 0;
        while (i < part.length()) {
            int c = part.charAt(i);
            int used = 1;
            if (c == '%') {
                boolean two = i + 2 < part.length();
                int high = two ? Character.digit(part.charAt(i + 1), 16) : -1;
                int low = two ? Character.digit(part.charAt(i + 2), 16) : -1;
                if (high < 0 || low < 0) {
                    throw new BadMessage(400, "a % in the path without two hex digits");
                }
                c = 16 * high + low;
                used = 3;
            }
            bytes.write(c);
            i += used;
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    private Reply reply(Inbound from, String path) {
        return new Reply() {
            @Override
            public double calledFrom() {
                return from.arrivedFrom();
            }

            @Override
            public void answer(Answer how) {
                ended(from, path, how);
            }
        };
    }

    private void ended(Inbound from, String path, Answer how) {
        if (how == Answer.YES) {
            answered++;
        } else {
            refused++;
        }
        LOG.atDebug().addKeyValue("path", path).addKeyValue("answer", how).log("management.call");
        answer(from, how.status, List.of(), how.text);
    }

    private void answer(Inbound from, int status, List<String> fields, String text) {
        if (all.contains(from)) {
            leaving.add(from);
        }
        from.answer(status, fields, text + "\n");
    }
}
