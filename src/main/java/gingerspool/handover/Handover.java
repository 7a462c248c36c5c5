package gingerspool.handover;

import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.ConnectionSteering;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import gingerspool.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Carries out what Succession decides: calls to the other process, calls from it, and the note. */
public final class Handover {
    private static final Logger LOG = LoggerFactory.getLogger(Handover.class);

    /** How long the other process may take over a word or a call-back, in milliseconds. */
    private static final double PATIENCE = 700;

    /** An operator's call is answered by then, whoever else has to know of it. */
    private static final double ANSWER_WITHIN = 800;

    /** A process that has the state and acknowledges no word by then is the successor no more. */
    private static final double JOINED_WITHIN = ANSWER_WITHIN / 2;

    /** The same for telling its state, and for retiring. */
    private static final double PATIENCE_STATE = 2000;

    private static final double PATIENCE_RETIRE = 1000;

    /** An heir that has taken over holds a call open from then on, this soon. */
    private static final double HELD_WITHIN = 2000;

    /**
     * A process that has a successor under way, or is not serving yet, is asked again this soon.
     */
    private static final double ASK_AGAIN = 50;

    /** The process that serves is looked for so long; then this one serves alone. */
    private static final double SEARCH_WITHIN = 2 * PATIENCE_STATE;

    /**
     * Operators are told yes once all new connections come here: the process before this one may be
     * ended as soon as they have it. They have it so long after the start at the latest, or so long
     * after this process serves where starting took longer; 6 s from the start are allowed.
     */
    private static final double READY_AFTER_START = 4500;

    private static final double READY_AFTER_SERVING = 1000;

    /** The end of another process is seen so soon after a call to it has broken. */
    private static final double GONE_SEEN_WITHIN = 100;

    /** How often the process before this one is asked what it holds, in milliseconds. */
    private static final double SHARE_EVERY = 100;

    private static final String PATH = "/v1/link/";

    /** How calls end; 0 stands for no answer. */
    private static final int OK = 200;

    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int NO_ANSWER = 0;
    private static final byte[] NOTHING = new byte[0];

    /** What the process does for it. */
    public interface House {
        /** All that the next process is to know. */
        Map<String, Object> state();

        /** The state that the process before this one told, whole. */
        void take(Object state) throws BadMessage;

        /** What the note says where no state could be had. */
        void ban(List<String> suspended, boolean drained);

        /** Listens for clients, beside the other process; serves them only from serve() on. */
        void bind() throws IOException;

        void serve();

        /**
         * Has all new connections come to this process; then tells whether they do. Until then they
         * go to the listener of this number, that of the process before it.
         */
        void claim(int before, Consumer<Boolean> done);

        /** The number of this process's listener, for the next one's claim. */
        int listenerNumber();

        /** The process before this one is gone: nobody listens beside it. */
        void alone();

        /** Another process has the clients; who still comes here is served all the same. */
        void retire();

        /**
         * That process listens: stop once no connection comes here any more. Tells whether all new
         * ones go there.
         */
        void closeListener(boolean claimed);

        /** That process is gone: takes clients again. */
        void takeBack();

        /** The other process holds so many descriptors of those that both share. */
        void sharesWith(int descriptors);

        int descriptors();

        /** The workers under a ban, and whether the scheduler is drained. */
        List<String> suspended();

        boolean isDrained();

        /** An operator's word from the other process: suspend, resume, drain or activate. */
        void word(String what, String worker);

        /**
         * A call-back that came to the other process; tells whether it is about a task of this one.
         */
        boolean told(byte[] callBack) throws BadMessage;

        /** It can't go on. */
        void fail(String why);
    }

    private final EventLoop loop;
    private final Executor files;
    private final Executor anyThread;
    private final Path file;
    private final InetSocketAddress own;
    private final double connectWithin;
    private final House house;
    private final Succession succession = new Succession();
    private final HandoverFile found;
    private final SoleStartLock soleStart;

    /** When this process started, in milliseconds of Unix time. */
    private final double startedAt;

    /** The process that is asked for its state: the one of the file, or one that came after it. */
    private HandoverFile asked;

    private double searchedFrom;

    /** The number of its listener, as it said. */
    private int listenerBefore = ConnectionSteering.UNKNOWN;

    /** The process is to end. */
    private boolean ending;

    /** It is to end before it has taken over. */
    private boolean leaving;

    /** New connections still go to the process before this one as well, and it is not too late. */
    private boolean claiming;

    private String token = "";
    private Peer before;
    private Peer after;

    /** How often we have asked for the state, and the number of the last word that came since. */
    private long asks;

    private long heard;
    private final List<Runnable> early = new ArrayList<>();
    private int forwarded;
    private int unannounced;

    /**
     * Reads the note in the folder at once. Files are written by `files`, whose ends are told by
     * `anyThread`; own is where this process is called.
     */
    public Handover(
            EventLoop loop,
            Executor files,
            Executor anyThread,
            Path folder,
            String name,
            InetSocketAddress own,
            double connectWithin,
            House house) {
        this.loop = loop;
        this.files = files;
        this.anyThread = anyThread;
        this.own = own;
        this.connectWithin = connectWithin;
        this.house = house;
        file = HandoverFile.path(folder, name);
        found = HandoverFile.read(file);
        soleStart = new SoleStartLock(file);
        asked = found;
        startedAt =
                ProcessHandle.current()
                        .info()
                        .startInstant()
                        .map(at -> (double) at.toEpochMilli())
                        .orElse(0.0);
    }

    /** The workers under a ban that a state tells of. */
    public static List<String> suspended(Object state) throws BadMessage {
        return HandoverFile.names(state);
    }

    /**
     * Whether the processes before and after this one both live: they reach each other through it.
     */
    public boolean standsBetween() {
        return before != null && after != null;
    }

    /** Whether the process before this one still lives, as far as is known. */
    public boolean hasBefore() {
        return before != null;
    }

    /** Whether a note names a process before this one. */
    public boolean hasNote() {
        return found != null;
    }

    // ---- As the later process ----

    public void begin() {
        byte[] secret = new byte[16];
        new SecureRandom().nextBytes(secret);
        token = HexFormat.of().formatHex(secret);
        searchedFrom = loop.now();
        act(succession.begin(found != null));
    }

    /** The process is to end: one that does not serve yet takes nothing over any more. */
    public void leave() {
        ending = true;
        if (!succession.isServing()) {
            leaving = true;
            dropBefore();
        }
    }

    private void act(Succession.Action act) {
        if (leaving) {
            return;
        }
        switch (act) {
            case ASK -> ask();
            case SERVE_ALONE -> serveAlone();
            case TAKE -> askToRetire();
            case SERVE -> serveAfter();
            case TAKE_BACK -> {
                after.close();
                after = null;
                LOG.atWarn().log("handover.successor_gone");
                house.takeBack();
                if (before != null) {
                    claim(house.listenerNumber());
                }
                if (!ending) {
                    announce();
                }
            }
            default -> {}
        }
    }

    private void ask() {
        if (leaving) {
            return;
        }
        if (asked.at().equals(Address.text(own))) {
            stateFailed("it was called where this one is, so it has ended");
            return;
        }
        try {
            before =
                    before == null
                            ? new Peer(
                                    loop,
                                    Address.read(asked.at()),
                                    asked.token(),
                                    own,
                                    connectWithin)
                            : before;
        } catch (BadMessage e) {
            stateFailed("its address is " + e.getMessage());
            return;
        }
        heard = 0;
        asks++;
        early.clear();
        Map<String, Object> call = new LinkedHashMap<>();
        call.put("v", HandoverFile.VERSION);
        call.put("token", token);
        call.put("ask", asks);
        call.put("started", startedAt);
        before.words.call("join", body(call), PATIENCE_STATE, this::stateAnswered);
    }

    private void stateAnswered(int status, byte[] body) {
        if (leaving) {
            return;
        }
        switch (status) {
            case OK -> stateCame(body);
            case CONFLICT -> lookFurther(body);
            case GONE -> house.fail("a process that started later serves");
            case NO_ANSWER -> lookUpAgain();
            default -> stateFailed("status " + status);
        }
    }

    private void stateCame(byte[] body) {
        try {
            Object state = Json.read(body, 0, body.length);
            if (JsonTree.number(0, state, "v") != HandoverFile.VERSION) {
                throw new BadMessage(400, "of another version");
            }
            house.take(state);
            LOG.atInfo().addKeyValue("bytes", body.length).log("handover.state");
            act(succession.stateCame());
        } catch (BadMessage e) {
            stateFailed("the state is " + e.getMessage());
        }
    }

    /**
     * It has no state to tell: its successor serves, which is asked instead, or it does not serve
     * itself yet. Guards against a second process that serves beside that one and knows nothing of
     * it.
     */
    private void lookFurther(byte[] refusal) {
        if (loop.now() > searchedFrom + SEARCH_WITHIN) {
            stateFailed("nobody told a state within " + Math.round(SEARCH_WITHIN) + " ms");
            return;
        }
        HandoverFile next = successorIn(refusal);
        if (next == null) {
            loop.schedule(ASK_AGAIN, this::ask);
            return;
        }
        LOG.atInfo()
                .addKeyValue("of", asked.at())
                .addKeyValue("at", next.at())
                .log("handover.next");
        askInstead(next, 0);
    }

    private void askInstead(HandoverFile next, double pause) {
        dropBefore();
        asked = next;
        loop.schedule(pause, this::ask);
    }

    private HandoverFile successorIn(byte[] refusal) {
        try {
            Object tree = Json.read(refusal, 0, refusal.length);
            String at = JsonTree.text("", tree, "at");
            String secret = JsonTree.text("", tree, "token");
            return at.isEmpty() ? null : found.calledAt(at, secret);
        } catch (BadMessage e) {
            return null;
        }
    }

    /**
     * It is gone, perhaps since another one has taken over after the file was read: the file then
     * names that one by now.
     */
    private void lookUpAgain() {
        files.execute(
                () -> {
                    HandoverFile newest = HandoverFile.read(file);
                    anyThread.execute(() -> lookedUp(newest));
                });
    }

    private void lookedUp(HandoverFile newest) {
        if (leaving) {
            return;
        }
        if (isAnother(newest) && loop.now() <= searchedFrom + SEARCH_WITHIN) {
            askInstead(newest, ASK_AGAIN);
        } else {
            stateFailed("no answer");
        }
    }

    /**
     * Guards against two processes that start at once when the one before has gone: both would find
     * nobody and serve beside each other. The one that gets the lock serves alone; the other one
     * then finds it in the file.
     */
    private void stateFailed(String why) {
        files.execute(
                () -> {
                    boolean isSole = soleStart.tryAcquire();
                    HandoverFile newest = isSole ? HandoverFile.read(file) : null;
                    anyThread.execute(() -> lockTried(isSole, newest, why));
                });
    }

    private void lockTried(boolean isSole, HandoverFile newest, String why) {
        if (leaving) {
            return;
        }
        boolean isLate = loop.now() > searchedFrom + SEARCH_WITHIN;
        if (!isSole && !isLate) {
            loop.schedule(ASK_AGAIN, () -> stateFailed(why));
        } else if (isSole && !isLate && isAnother(newest)) {
            files.execute(soleStart::release);
            askInstead(newest, 0);
        } else {
            LOG.atWarn()
                    .addKeyValue("why", why)
                    .addKeyValue("bans", asked.suspended().size())
                    .log("handover.no_state");
            act(succession.stateFailed());
        }
    }

    private boolean isAnother(HandoverFile newest) {
        return newest != null && !newest.at().equals(asked.at());
    }

    private void serveAlone() {
        dropBefore();
        house.ban(asked == null ? List.of() : asked.suspended(), asked != null && asked.drained());
        if (bind()) {
            serve();
        }
        // Behind the file that names this process, which is on its way to the disk.
        files.execute(soleStart::release);
    }

    private boolean bind() {
        try {
            house.bind();
            return true;
        } catch (IOException e) {
            house.fail(e.getMessage());
            return false;
        }
    }

    /** It goes on taking who comes to it until this one listens too, so nobody is refused. */
    private void askToRetire() {
        runEarly();
        before.words.call("take", body(Map.of("n", heard)), PATIENCE_RETIRE, this::retireAnswered);
    }

    private void retireAnswered(int status, byte[] body) {
        if (leaving) {
            return;
        }
        if (status == OK) {
            house.sharesWith((int) number(body, "descriptors", 0));
            listenerBefore = (int) number(body, "listener", ConnectionSteering.UNKNOWN);
            before.held.call("hold", NOTHING, 0, (ended, none) -> beforeGone());
            loop.schedule(SHARE_EVERY, this::shareAgain);
            act(succession.retired());
        } else if (status == CONFLICT) {
            act(succession.refused());
        } else {
            LOG.atWarn().addKeyValue("status", status).log("handover.not_retired");
            Succession.Action then = succession.beforeGone();
            dropBefore();
            act(then);
        }
    }

    /**
     * Asks again what the one before holds. Guards the clients: it gives up a connection with each
     * answer, and what it held at first would leave this one few for long.
     */
    private void shareAgain() {
        if (before == null) {
            return;
        }
        before.words.call(
                "held",
                NOTHING,
                PATIENCE,
                (status, body) -> {
                    if (status == OK && before != null) {
                        house.sharesWith((int) number(body, "descriptors", 0));
                    }
                    loop.schedule(SHARE_EVERY, this::shareAgain);
                });
    }

    /** Serves, and has the one before listen no more once all new connections come here. */
    private void serveAfter() {
        if (!bind()) {
            return;
        }
        serve();
        if (before != null) {
            claim(listenerBefore);
        }
    }

    private void claim(int others) {
        claiming = true;
        double tooLate = Math.max(startedAt + READY_AFTER_START, loop.now() + READY_AFTER_SERVING);
        loop.schedule(tooLate - loop.now(), this::claimTakesLong);
        house.claim(others, this::claimed);
    }

    private void claimTakesLong() {
        if (claiming) {
            claiming = false;
            LOG.atWarn().log("handover.claim_late");
        }
    }

    /**
     * A process that was succeeded meanwhile leaves it to its successor, which tells of its own.
     */
    private void claimed(boolean all) {
        claiming = false;
        if (before != null && succession.after() != Succession.After.SUCCEEDED) {
            LOG.atInfo().addKeyValue("all", all).log("handover.claimed");
            tellBound(all);
        }
    }

    /** The process before this one may stop listening once none of its clients go there. */
    private void tellBound(boolean all) {
        if (before != null) {
            before.words.call("bound", body(Map.of("all", all)), PATIENCE, (status, none) -> {});
        }
    }

    private static double number(byte[] body, String key, double otherwise) {
        try {
            return JsonTree.number(otherwise, Json.read(body, 0, body.length), key);
        } catch (BadMessage e) {
            return otherwise;
        }
    }

    private void serve() {
        runEarly();
        house.serve();
        announce();
    }

    /**
     * Guards against a next process that reads the note of the one before: while ours is on its way
     * to the disk, it would find nobody there and serve beside us. Nobody is told to start it until
     * then.
     */
    private void announce() {
        unannounced++;
        note(() -> unannounced--);
    }

    /**
     * Whether the next process will find this one, or can't since the note could not be written;
     * and new connections all come here, or can't be had in time. Guards clients of the process
     * before: operators end it as soon as this one is ready.
     */
    public boolean isSettled() {
        return unannounced == 0 && !claiming;
    }

    private void beforeGone() {
        if (before != null) {
            LOG.atInfo().log("handover.alone");
            claiming = false;
            dropBefore();
            house.alone();
            act(succession.beforeGone());
        }
    }

    private void dropBefore() {
        if (before != null) {
            Peer was = before;
            before = null;
            was.close();
            house.sharesWith(0);
        }
    }

    /** Words that came before the state are later than it. */
    private void runEarly() {
        List<Runnable> all = List.copyOf(early);
        early.clear();
        all.forEach(Runnable::run);
    }

    // ---- Operators' words, and the note ----

    /** Tells the other processes and the note; then says whether all have it. */
    public void word(String what, String worker, Consumer<Boolean> done) {
        spread(what, worker, "", done);
    }

    /** All but the one that it came from are told. */
    private void spread(String what, String worker, String except, Consumer<Boolean> done) {
        Acknowledgements all = new Acknowledgements(what, done);
        loop.schedule(ANSWER_WITHIN, all::giveUp);
        if (after != null && !after.name().equals(except) && succession.word()) {
            all.addPeer();
            tell(after, what, worker, all);
        }
        if (before != null
                && !before.name().equals(except)
                && succession.before() == Succession.Before.BESIDE) {
            all.addPeer();
            tell(before, what, worker, all);
        }
        if (succession.after() != Succession.After.SUCCEEDED) {
            all.addFile();
            note(all::written);
        }
        all.allTold();
    }

    private void tell(Peer peer, String what, String worker, Acknowledgements all) {
        Map<String, Object> word = new LinkedHashMap<>();
        word.put("do", what);
        word.put("worker", worker);
        word.put("n", ++peer.told);
        word.put("ask", peer.ask);
        double sentAt = loop.now();
        Future<?> tooLate = loop.schedule(JOINED_WITHIN, () -> dropJoined(peer));
        peer.words.call(
                "word",
                body(word),
                PATIENCE,
                (status, body) -> {
                    tooLate.cancel(false);
                    if (status != OK) {
                        LOG.atWarn()
                                .addKeyValue("word", what)
                                .addKeyValue("status", status)
                                .log("handover.notification_failed");
                        dropJoined(peer);
                    }
                    if (status == NO_ANSWER && loop.now() < sentAt + PATIENCE) {
                        refusedBy(peer);
                    }
                    if (status == NO_ANSWER) {
                        loop.schedule(GONE_SEEN_WITHIN, () -> all.peerAnswered(isGone(peer)));
                    } else {
                        all.peerAnswered(status == OK || isGone(peer));
                    }
                });
    }

    /**
     * No connection to it comes up, so nobody listens there. A successor that has taken over and
     * does not hold its call open yet has ended: nothing else would tell of it for a while.
     */
    private void refusedBy(Peer peer) {
        if (peer == after && !peer.holds) {
            successorGone(peer.name());
        }
    }

    /**
     * Guards against a no for want of a process that is gone: what it had, it takes with it. Its
     * end may be seen a little after the end of a call to it.
     */
    private boolean isGone(Peer peer) {
        return peer != before && peer != after;
    }

    /**
     * A process that has the state but has not taken over does not acknowledge a word: it is
     * forgotten. Guards operators' calls: no call tells when such a process ends, and each would be
     * refused for want of it. One that was only slow may not take over then, and asks for the state
     * again.
     */
    private void dropJoined(Peer peer) {
        if (peer != after || succession.after() != Succession.After.JOINED) {
            return;
        }
        LOG.atWarn().addKeyValue("successor", peer.name()).log("handover.successor_dropped");
        succession.successorGone(peer.name());
        after = null;
        peer.close();
    }

    /** Writes the note beside the loop; what can't be written is told, and holds nothing up. */
    private void note(Runnable written) {
        HandoverFile note =
                new HandoverFile(Address.text(own), token, house.suspended(), house.isDrained());
        files.execute(
                () -> {
                    try {
                        note.write(file);
                    } catch (IOException | RuntimeException e) {
                        LOG.atWarn()
                                .addKeyValue("file", file)
                                .addKeyValue("why", e.toString())
                                .log("handover.file_write_failed");
                    }
                    anyThread.execute(written);
                });
    }

    // ---- Call-backs ----

    /**
     * A call-back for no task of ours: the status to answer it with, once the others have seen it.
     */
    public void callBack(byte[] call, IntConsumer answer) {
        forward(call, "", answer);
    }

    private void forward(byte[] call, String except, IntConsumer answer) {
        List<Peer> to = new ArrayList<>();
        for (Peer p : new Peer[] {before, after}) {
            if (p != null
                    && !p.name().equals(except)
                    && (p == before
                            ? succession.before() != Succession.Before.ASKED
                            : succession.after() == Succession.After.SUCCEEDED)) {
                to.add(p);
            }
        }
        // Whoever can't be asked and is not gone may own it: the worker then tells it again.
        Acknowledgements all =
                new Acknowledgements("callback", heard -> answer.accept(heard ? 200 : 503));
        for (Peer p : to) {
            forwarded++;
            all.addPeer();
            p.callBacks.call(
                    "callback",
                    call,
                    PATIENCE,
                    (status, body) -> all.peerAnswered(status > 0 && status != 503 || isGone(p)));
        }
        all.allTold();
    }

    /** How many call-backs went to another process since the last call. */
    public int forwarded() {
        int n = forwarded;
        forwarded = 0;
        return n;
    }

    // ---- Calls from the other process ----

    /** Whether this request to the management address is for us; it is then answered. */
    public boolean takes(Inbound from, Message request) {
        if (!request.target().startsWith(PATH)) {
            return false;
        }
        String said = request.field("x-token");
        if (said == null
                || token.isEmpty()
                || !MessageDigest.isEqual(
                        said.getBytes(StandardCharsets.ISO_8859_1),
                        token.getBytes(StandardCharsets.ISO_8859_1))) {
            LOG.atWarn().addKeyValue("path", request.target()).log("handover.unknown_caller");
            from.endAfterAnswer(true);
            from.answer(404, List.of(), "no such path\n");
            return true;
        }
        String who = request.field("x-from") == null ? "" : request.field("x-from");
        try {
            call(from, who, request.target().substring(PATH.length()), request.body());
        } catch (BadMessage e) {
            from.answer(400, List.of(), e.getMessage() + "\n");
        }
        return true;
    }

    private void call(Inbound from, String who, String path, byte[] body) throws BadMessage {
        switch (path) {
            case "join" -> joined(from, who, Json.read(body, 0, body.length));
            case "take" ->
                    take(
                            from,
                            who,
                            (long) JsonTree.number(-1, Json.read(body, 0, body.length), "n"));
            case "bound" -> bound(from, who, Json.read(body, 0, body.length));
            case "held" -> from.answer(OK, List.of(), body(held()));
            case "hold" -> {
                if (after == null || !after.name().equals(who)) {
                    from.answer(CONFLICT, List.of(), "not the heir\n");
                } else {
                    after.holds = true;
                    from.whenGone(() -> successorGone(who));
                }
            }
            case "word" -> word(from, who, Json.read(body, 0, body.length));
            case "callback" -> {
                if (house.told(body)) {
                    from.answer(200, List.of(), NOTHING);
                } else {
                    forward(
                            body,
                            who,
                            status ->
                                    from.answer(status == 200 ? 404 : status, List.of(), NOTHING));
                }
            }
            default -> from.answer(404, List.of(), "no such path\n");
        }
    }

    private void joined(Inbound from, String who, Object call) throws BadMessage {
        if (JsonTree.number(0, call, "v") != HandoverFile.VERSION) {
            throw new BadMessage(400, "v is not " + HandoverFile.VERSION);
        }
        if (JsonTree.number(startedAt, call, "started") < startedAt) {
            // Guards the order of starts: whoever starts a process ends the ones before it.
            from.answer(GONE, List.of(), "started before this one\n");
            return;
        }
        Peer successor =
                new Peer(
                        loop,
                        Address.read(who),
                        JsonTree.text("", call, "token"),
                        own,
                        connectWithin);
        if (succession.asked(who) != Succession.Action.TELL) {
            from.answer(CONFLICT, List.of(), body(whoServes()));
            return;
        }
        if (after != null) {
            after.close();
        }
        after = successor;
        after.ask = (long) JsonTree.number(0, call, "ask");
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("v", HandoverFile.VERSION);
        state.put("suspended", house.suspended());
        state.put("drained", house.isDrained());
        state.putAll(house.state());
        LOG.atInfo().addKeyValue("successor", who).log("handover.joined");
        from.answer(200, List.of(), body(state));
    }

    /** Where the process is called that has the clients, as far as this one knows. */
    private Map<String, Object> whoServes() {
        return succession.after() == Succession.After.SUCCEEDED
                ? Map.of("at", after.name(), "token", after.token())
                : Map.of();
    }

    private void bound(Inbound from, String who, Object call) {
        if (succession.bound(who) == Succession.Action.CLOSE) {
            boolean all = JsonTree.mark(call, "all");
            house.closeListener(all);
            tellBound(all);
            from.answer(OK, List.of(), NOTHING);
        } else {
            from.answer(CONFLICT, List.of(), "not the successor\n");
        }
    }

    private void take(Inbound from, String who, long words) {
        if (succession.asksToTake(who, words) != Succession.Action.RETIRE) {
            from.answer(CONFLICT, List.of(), "not yet\n");
            return;
        }
        LOG.atInfo().addKeyValue("successor", who).log("handover.retired");
        house.retire();
        from.answer(OK, List.of(), body(held()));
        Peer successor = after;
        loop.schedule(
                HELD_WITHIN,
                () -> {
                    if (successor == after && !successor.holds) {
                        successorGone(who);
                    }
                });
    }

    private Map<String, Object> held() {
        Map<String, Object> held = new LinkedHashMap<>();
        held.put("descriptors", house.descriptors());
        held.put("listener", house.listenerNumber());
        return held;
    }

    private void successorGone(String who) {
        act(succession.successorGone(who));
    }

    private void word(Inbound from, String who, Object word) {
        boolean fromBefore = before != null && before.name().equals(who);
        if (fromBefore && !succession.isServing() && JsonTree.number(0, word, "ask") != asks) {
            // Guards what is said later: the state that was asked for since has this word in it.
            from.answer(200, List.of(), NOTHING);
            return;
        }
        Runnable carry =
                () -> {
                    String what = JsonTree.text("", word, "do");
                    String worker = JsonTree.text("", word, "worker");
                    house.word(what, worker);
                    if (fromBefore) {
                        heard = (long) JsonTree.number(0, word, "n");
                    }
                    spread(
                            what,
                            worker,
                            who,
                            well -> from.answer(well ? 200 : 503, List.of(), NOTHING));
                };
        if (fromBefore && succession.before() == Succession.Before.ASKED) {
            early.add(carry);
        } else {
            carry.run();
        }
    }

    private static byte[] body(Map<String, ?> tree) {
        return Json.write(tree).getBytes(StandardCharsets.UTF_8);
    }
}
