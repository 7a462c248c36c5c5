package gingerspool.wire;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Where clients and call-backs come in: owns their connections and turns requests into calls. */
public final class ClientEndpoint implements Inbound.Handler, Listener.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(ClientEndpoint.class);

    /** Who is behind the door. */
    public interface RequestHandler {
        boolean knowsProfile(String name);

        boolean inHand(String id);

        /** Whether another task can be taken, by its size. */
        boolean hasRoomFor(int bytes);

        /** A task that is to be decided on. */
        void arrived(TaskRequest request);

        /**
         * A worker's word on an assignment; load is its report, or null. Tells whether the task is
         * ours.
         */
        boolean told(
                String id, String from, String state, double share, String result, Object load);

        /**
         * A worker's word on a task that is not ours, and the status to answer it with in the end.
         */
        default void elsewhere(byte[] callBack, IntConsumer status) {
            status.accept(200);
        }
    }

    /** A new connection's first request has come by then, in milliseconds. */
    private static final double FRESH = 200;

    /** How closely it is known since when the process stood still, in milliseconds. */
    private static final double STALLS_SEEN_EVERY = 50;

    private static final String LEAVING = "about to end\n";
    private static final String TOO_MANY = "too many tasks in hand\n";

    private final EventLoop loop;
    private final RequestHandler handler;
    private int most;
    private SocketAddress at;

    /** Where other processes may listen at this address beside us. */
    private final boolean shared;

    /** Null before we have listened; closed where we do no more. */
    private Listener listener;

    private final Set<Inbound> all = new LinkedHashSet<>();

    /** The longest idle first. */
    private final Set<Inbound> idle = new LinkedHashSet<>();

    /** It is looked for room once more, when new connections have had time for a request. */
    private boolean looksAgain;

    /** A timer for that is due. */
    private boolean watchesStalls;

    private boolean ready = true;
    private boolean lastAnswers;
    private boolean lastCallBacks;
    private boolean refusesTasks;
    private int turnedDown;
    private int refused;

    /**
     * Holds so many connections at the most; others may listen at the same address if it is shared.
     */
    public ClientEndpoint(
            EventLoop loop, SocketAddress at, boolean shared, int most, RequestHandler handler) {
        this.loop = loop;
        this.handler = handler;
        this.most = most;
        this.at = at;
        this.shared = shared;
    }

    /** Listens from now on, unless it does, and takes who comes from open() on. */
    public void listen() throws IOException {
        if (isListening()) {
            listener.stayOpen();
            return;
        }
        listener = new Listener(loop, at, shared, this);
        // Guards a port that the system chose: who listens again does so where clients know it.
        at = listener.address();
    }

    public SocketAddress address() throws IOException {
        return listener.address();
    }

    public void open() {
        listener.acceptOn();
        watchStalls();
    }

    /** Holds so many connections at the most from now on. */
    public void most(int connections) {
        most = connections;
        // Those who wait for room are told of it by nobody else.
        acceptOn();
    }

    public int connections() {
        return all.size();
    }

    /** Counts since the last call. */
    public void summary(LoggingEventBuilder line) {
        line.addKeyValue("at_door", all.size())
                .addKeyValue("turned_down", turnedDown)
                .addKeyValue("refused", refused);
        turnedDown = 0;
        refused = 0;
    }

    // ---- Connections ----

    /**
     * Guards the limit on descriptors: the longest idle connections make room for new ones. One on
     * which a first request may be under way does so only after a while.
     */
    @Override
    public boolean hasRoom() {
        while (all.size() >= most && makeRoom()) {}
        boolean hasRoom = all.size() < most;
        if (!hasRoom && !idle.isEmpty() && !looksAgain) {
            looksAgain = true;
            loop.schedule(FRESH, this::lookForRoom);
        }
        return hasRoom;
    }

    private boolean makeRoom() {
        for (Inbound connection : idle) {
            if (connection.makesRoom(FRESH)) {
                connection.close();
                return true;
            }
        }
        return false;
    }

    private void lookForRoom() {
        looksAgain = false;
        acceptOn();
    }

    /**
     * Guards against a limit lower than the one told: an eighth of what we hold makes way for good.
     */
    @Override
    public void outOfDescriptors() {
        most = Math.max(1, all.size() * 7 / 8);
        LOG.atWarn().addKeyValue("most", most).log("client.out_of_descriptors");
    }

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        accepted(channel, loop.now());
    }

    @Override
    public void accepted(AsynchronousSocketChannel channel, double letInFrom) {
        Inbound connection = new Inbound(loop, channel, this);
        connection.mayHoldSince(letInFrom);
        all.add(connection);
        connection.endAfterAnswer(lastAnswers);
        connection.start();
    }

    /**
     * The loop sees a stall by its timers: while clients are here or may come, one is due soon at
     * any time.
     */
    private void watchStalls() {
        if (!watchesStalls && (listens() || !all.isEmpty())) {
            watchesStalls = true;
            loop.schedule(
                    STALLS_SEEN_EVERY,
                    () -> {
                        watchesStalls = false;
                        watchStalls();
                    });
        }
    }

    @Override
    public void idle(Inbound connection, boolean is) {
        if (is) {
            idle.add(connection);
            if (all.size() >= most) {
                acceptOn();
            }
        } else {
            idle.remove(connection);
        }
    }

    @Override
    public void closed(Inbound connection) {
        all.remove(connection);
        idle.remove(connection);
        acceptOn();
    }

    private void acceptOn() {
        if (listener != null) {
            listener.acceptOn();
        }
    }

    /** What health checks are told: whether new clients are to be sent here. */
    public void ready(boolean is) {
        ready = is;
    }

    /** Whether each task that comes is refused at once: the process is about to end. */
    public void refuseTasks(boolean is) {
        refusesTasks = is;
    }

    /**
     * Whether the next answer on each of the clients' connections, or of the workers', is its last.
     */
    public void lastAnswers(boolean ofClients, boolean ofWorkers) {
        if (ofClients != lastAnswers || ofWorkers != lastCallBacks) {
            lastAnswers = ofClients;
            lastCallBacks = ofWorkers;
            all.forEach(c -> c.endAfterAnswer(c.hasCallBacks() ? ofWorkers : ofClients));
        }
    }

    /**
     * Closes the clients' connections that have had no request for so long, or for `fresh` if never
     * one, and call-backs' too if told.
     */
    public void closeIdle(double usedFor, double fresh, boolean callBacksToo) {
        for (Inbound c : List.copyOf(idle)) {
            if (callBacksToo || !c.hasCallBacks()) {
                c.closeIfIdle(usedFor, fresh);
            }
        }
    }

    /** How many connections are not known to be a worker's. */
    public int ofClients() {
        int n = 0;
        for (Inbound c : all) {
            n += c.hasCallBacks() ? 0 : 1;
        }
        return n;
    }

    /** No more connections, from now on or as soon as an accept under way has ended. */
    public void shut() {
        if (listener != null) {
            listener.close();
        }
    }

    /** The same though clients may come: takes those that wait first. */
    public void drainListener() {
        if (listener != null) {
            listener.drainAndClose();
        }
    }

    /** Another process has the new connections: listens until none has come for so long. */
    public void shutWhenQuiet(double quiet) {
        if (listener != null) {
            listener.closeWhenQuiet(quiet);
        }
    }

    /**
     * Has all new connections come here, where others listen too; then tells whether they do. Until
     * then they go to the member `others`.
     */
    public void claim(
            ConnectionSteering steering, int others, Consumer<ConnectionSteering.Outcome> done) {
        steering.claim(listener, others, done);
    }

    /** Tells whether they still do. */
    public void verifyClaim(ConnectionSteering steering, Consumer<Boolean> done) {
        steering.verify(listener, done);
    }

    private boolean isListening() {
        return listener != null && listener.isOpen();
    }

    /** Whether connections may still come here. */
    public boolean listens() {
        return listener != null && listener.mayAccept();
    }

    // ---- Requests ----

    @Override
    public void asked(Inbound from, Message request) {
        String target = request.target();
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        LOG.atDebug().addKeyValue("request", request).log("client.request");
        try {
            switch (path) {
                case "/healthz" -> {
                    allow(request, "GET");
                    from.answer(ready ? 200 : 503, List.of(), ready ? "ready\n" : "not ready\n");
                }
                case "/callback" -> {
                    allow(request, "POST");
                    from.carriesCallBacks(lastCallBacks);
                    if (callBack(request.body())) {
                        from.answer(200, List.of(), "");
                    } else {
                        handler.elsewhere(
                                request.body(), status -> from.answer(status, List.of(), ""));
                    }
                }
                default -> task(from, request, path);
            }
        } catch (BadMessage e) {
            unreadable(e);
            from.answer(
                    e.status,
                    e.field == null ? List.of() : List.of(e.field),
                    e.getMessage() + "\n");
        }
    }

    /** Counted and not told one by one, since anyone could fill the log. */
    @Override
    public void unreadable(BadMessage fault) {
        turnedDown++;
        LOG.atDebug()
                .addKeyValue("status", fault.status)
                .addKeyValue("why", fault.getMessage())
                .log("client.bad_request");
    }

    static void allow(Message request, String method) throws BadMessage {
        if (!request.method().equals(method)) {
            throw new BadMessage(405, "method must be " + method, "Allow: " + method);
        }
    }

    /** A worker's word, wherever it came to; tells whether it is about a task that is ours. */
    public boolean callBack(byte[] body) throws BadMessage {
        Object call = Json.read(body, 0, body.length);
        String id = JsonTree.text("", call, "id");
        String from = JsonTree.text("", call, "from");
        String state = JsonTree.text("", call, "state");
        if (id.isEmpty() || from.isEmpty() || state.isEmpty()) {
            throw new BadMessage(400, "a call-back needs id, from and state");
        }
        if (state.equals("done") && !(JsonTree.at(call, "result") instanceof String)) {
            throw new BadMessage(400, "a call-back of done needs a result in text");
        }
        LOG.atDebug()
                .addKeyValue("task", id)
                .addKeyValue("state", state)
                .addKeyValue("worker", from)
                .log("callback.received");
        return handler.told(
                id,
                from,
                state,
                JsonTree.number(Double.NaN, call, "share"),
                JsonTree.text("", call, "result"),
                JsonTree.at(call, "load"));
    }

    private void task(Inbound client, Message request, String path) throws BadMessage {
        String profile = request.field("x-service-class");
        int slash = path.indexOf('/', 1);
        String first = slash < 0 ? path.substring(1) : path.substring(1, slash);
        if (profile == null && !handler.knowsProfile(first)
                || profile != null && handler.knowsProfile(profile) && !profile.equals(first)) {
            throw new BadMessage(404, "no such path");
        }
        allow(request, "POST");
        profile = profile == null ? first : profile;
        if (!handler.knowsProfile(profile)) {
            throw new BadMessage(400, "unknown class");
        }
        String id = request.field("x-correlation-id");
        if (id == null || id.length() > 128 || !Message.isToken(id)) {
            throw new BadMessage(400, "X-Correlation-Id is missing or unusable");
        }
        if (handler.inHand(id)) {
            throw new BadMessage(400, "X-Correlation-Id is in use");
        }
        double timeLeft = Facts.field(request, "x-time-left-ms", Double.NaN);
        // Microseconds on a standard core; the simulator tells the same figure in milliseconds.
        double hint = Facts.field(request, "x-weight-hint", 0) / 1000;
        double width = Facts.fact(request, "x-facts", "slots", 1);
        double memory = Facts.fact(request, "x-facts", "memory", 0);
        if (refusesTasks || !handler.hasRoomFor(request.body().length)) {
            refused++;
            client.answer(503, List.of(), refusesTasks ? LEAVING : TOO_MANY);
            return;
        }
        handler.arrived(
                new TaskRequest(
                        client,
                        id,
                        profile,
                        request.field("x-account"),
                        client.arrivedFrom(),
                        timeLeft,
                        hint,
                        width,
                        memory,
                        "1".equals(request.field("x-repeat")),
                        request));
    }

    // ---- Answers ----

    public static void finished(Inbound client, String result) {
        client.answer(200, List.of(), result.getBytes(StandardCharsets.UTF_8));
    }

    /** Trying again is harmless, best after this pause in milliseconds (0: no advice). */
    public static void bounced(Inbound client, double pause) {
        List<String> advice =
                pause > 0 ? List.of("Retry-After: " + Math.rint(pause) / 1000) : List.of();
        client.answer(503, advice, "bounced\n");
    }

    /** No promise about the effect. */
    public static void abandoned(Inbound client) {
        client.answer(500, List.of(), "abandoned\n");
    }
}
