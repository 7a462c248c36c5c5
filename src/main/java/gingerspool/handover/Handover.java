package gingerspool.handover;

import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.ConnectionSteering;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out what {@link Succession} decides: takes over from the process before this one, and
 * hands over to the one after it.
 *
 * <p>Thread: the event loop.
 */
public final class Handover {
    private static final Logger LOG = LoggerFactory.getLogger(Handover.class);

    /** How long the other process may take to retire, in milliseconds. */
    private static final double PATIENCE_RETIRE = 1000;

    /** A successor that has taken over holds a call open from then on, in milliseconds. */
    private static final double HELD_WITHIN = 2000;

    /** How often the process before this one is asked what it holds, in milliseconds. */
    private static final double SHARE_EVERY = 100;

    private static final double PATIENCE = CommandPropagation.PATIENCE;

    /**
     * Operators are told yes once all new connections come here: the process before this one may be
     * ended as soon as they have it. They have it so long after the start at the latest, or so long
     * after this process serves where starting took longer; 6 s from the start are allowed. In
     * milliseconds.
     */
    private static final double READY_AFTER_START = 4500;

    private static final double READY_AFTER_SERVING = 1000;

    private static final byte[] NOTHING = {};

    private final EventLoop loop;
    private final InetSocketAddress own;
    private final double connectWithin;
    private final HandoverOwner owner;
    private final HandoverPeers peers = new HandoverPeers();
    private final Succession succession = peers.succession();
    private final CommandsSinceState sinceState = new CommandsSinceState();
    private final PredecessorSearch search;
    private final HandoverFileWriter fileWriter;
    private final CommandPropagation propagation;
    private final CallBackForwarding forwarding = new CallBackForwarding(peers);
    private final HandoverEndpoint endpoint;

    /** When this process started, in milliseconds of Unix time. */
    private final double startedAt = processStart();

    /** The listener number of the process before this one, as it said. */
    private int listenerBefore = ConnectionSteering.UNKNOWN;

    /** The process is to end. */
    private boolean ending;

    /** It is to end before it has taken over. */
    private boolean leaving;

    /** New connections still go to the process before this one as well, and it is not too late. */
    private boolean claiming;

    /**
     * Reads the hand-over file in the folder at once. Files are written by `files`, whose ends are
     * told by `anyThread`; own is where this process is called.
     */
    public Handover(
            EventLoop loop,
            Executor files,
            Executor anyThread,
            Path folder,
            String name,
            InetSocketAddress own,
            double connectWithin,
            HandoverOwner owner) {
        this.loop = loop;
        this.own = own;
        this.connectWithin = connectWithin;
        this.owner = owner;
        Path file = HandoverFile.path(folder, name);
        String token = HandoverEndpoint.freshToken();
        endpoint = new HandoverEndpoint(token, this::called);
        fileWriter = new HandoverFileWriter(file, own, token, files, anyThread, owner);
        search =
                new PredecessorSearch(
                        loop,
                        files,
                        anyThread,
                        file,
                        own,
                        token,
                        startedAt,
                        connectWithin,
                        peers,
                        sinceState,
                        new SearchOwner());
        propagation =
                new CommandPropagation(
                        loop, peers, sinceState, fileWriter, owner, this::successorGone);
    }

    private static double processStart() {
        return ProcessHandle.current()
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
        return peers.before() != null && peers.after() != null;
    }

    /** Whether the process before this one still lives, as far as is known. */
    public boolean hasBefore() {
        return peers.before() != null;
    }

    /** Whether a file names a process before this one. */
    public boolean hasFile() {
        return search.hasFile();
    }

    /**
     * Whether the next process will find this one, or can't since the file could not be written;
     * and new connections all come here, or can't be had in time. Guards clients of the process
     * before: operators end it as soon as this one is ready.
     */
    public boolean isSettled() {
        return fileWriter.isAnnounced() && !claiming;
    }

    /** Looks for the process that serves. */
    public void begin() {
        search.begin();
        act(succession.begin());
    }

    /** The process is to end: one that does not serve yet takes nothing over any more. */
    public void leave() {
        ending = true;
        if (!succession.isServing()) {
            leaving = true;
            search.stop();
            dropBefore();
        }
    }

    /**
     * Tells an operator's command to the other processes and the file; then whether all have it.
     * The operator may have called since `calledFrom`, in milliseconds on the loop's clock.
     */
    public void propagate(
            String command, String worker, double calledFrom, Consumer<Boolean> done) {
        propagation.propagate(command, worker, calledFrom, done);
    }

    /**
     * A call-back for no task of ours: the status to answer it with, once the others have seen it.
     */
    public void callBack(byte[] callBack, IntConsumer answer) {
        forwarding.forward(callBack, "", answer);
    }

    /** Whether this request to the management address is for us; it is then answered. */
    public boolean takes(Inbound from, Message request) {
        return endpoint.takes(from, request);
    }

    private void act(Succession.Action action) {
        if (leaving) {
            return;
        }
        switch (action) {
            case ASK -> search.ask();
            case SERVE_ALONE -> serveAlone();
            case TAKE -> askToRetire();
            case SERVE -> serveAfter();
            case TAKE_BACK -> takeBack();
            default -> {}
        }
    }

    // ---- Taking over from the process before ----

    private final class SearchOwner implements PredecessorSearch.Owner {
        @Override
        public void stateCame(byte[] state) throws BadMessage {
            owner.adoptState(HandoverMessages.State.read(state));
            LOG.atInfo().addKeyValue("bytes", state.length).log("handover.state");
            act(succession.stateCame());
        }

        @Override
        public void nobodyFound() {
            act(succession.stateFailed());
        }

        @Override
        public void overtaken() {
            owner.fail("a process that started later serves");
        }
    }

    private void serveAlone() {
        dropBefore();
        HandoverFile last = search.lastAsked();
        owner.adoptBans(
                last == null ? List.of() : last.suspended(), last != null && last.drained());
        if (bind()) {
            serve();
        }
        // Behind the file that names this process, which is on its way to the disk.
        search.releaseLock();
    }

    private boolean bind() {
        try {
            owner.bind();
            return true;
        } catch (IOException e) {
            owner.fail(e.getMessage());
            return false;
        }
    }

    private void serve() {
        sinceState.carryOutWaiting();
        owner.serve();
        fileWriter.announce();
    }

    /** It goes on taking who comes to it until this one listens too, so nobody is refused. */
    private void askToRetire() {
        sinceState.carryOutWaiting();
        HandoverMessages.Take take = new HandoverMessages.Take(sinceState.lastNumber());
        peers.before().commands.call("take", take.bytes(), PATIENCE_RETIRE, this::retireAnswered);
    }

    private void retireAnswered(int status, byte[] body) {
        if (leaving) {
            return;
        }
        if (status == CallStatus.OK) {
            predecessorRetired(body);
        } else if (status == CallStatus.CONFLICT) {
            act(succession.refused());
        } else {
            LOG.atWarn().addKeyValue("status", status).log("handover.not_retired");
            Succession.Action next = succession.beforeGone();
            dropBefore();
            act(next);
        }
    }

    private void predecessorRetired(byte[] body) {
        HandoverMessages.Holdings unknown =
                new HandoverMessages.Holdings(0, ConnectionSteering.UNKNOWN);
        HandoverMessages.Holdings holdings = HandoverMessages.Holdings.read(body, unknown);
        owner.sharesWith(holdings.descriptors());
        listenerBefore = holdings.listener();
        peers.before().held.call("hold", NOTHING, 0, (ended, none) -> predecessorGone());
        loop.schedule(SHARE_EVERY, this::askHoldings);
        act(succession.retired());
    }

    /**
     * Asks again what the one before holds. Guards the clients: it gives up a connection with each
     * answer, and what it held at first would leave this one few for long.
     */
    private void askHoldings() {
        if (peers.before() != null) {
            peers.before().commands.call("held", NOTHING, PATIENCE, this::holdingsAnswered);
        }
    }

    private void holdingsAnswered(int status, byte[] body) {
        if (status == CallStatus.OK && peers.before() != null) {
            HandoverMessages.Holdings none = new HandoverMessages.Holdings(0, listenerBefore);
            owner.sharesWith(HandoverMessages.Holdings.read(body, none).descriptors());
        }
        loop.schedule(SHARE_EVERY, this::askHoldings);
    }

    /** Serves, and has the one before listen no more once all new connections come here. */
    private void serveAfter() {
        if (!bind()) {
            return;
        }
        serve();
        if (peers.before() != null) {
            claim(listenerBefore);
        }
    }

    private void claim(int others) {
        claiming = true;
        double tooLate = Math.max(startedAt + READY_AFTER_START, loop.now() + READY_AFTER_SERVING);
        loop.schedule(tooLate - loop.now(), this::claimTakesLong);
        owner.claim(others, this::claimed);
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
        if (peers.before() != null && !peers.isSucceeded()) {
            LOG.atInfo().addKeyValue("all", all).log("handover.claimed");
            tellBound(all);
        }
    }

    /** The process before this one may stop listening once none of its clients go there. */
    private void tellBound(boolean all) {
        if (peers.before() != null) {
            byte[] bound = new HandoverMessages.Bound(all).bytes();
            peers.before().commands.call("bound", bound, PATIENCE, (status, none) -> {});
        }
    }

    private void predecessorGone() {
        if (peers.before() != null) {
            LOG.atInfo().log("handover.alone");
            claiming = false;
            dropBefore();
            owner.predecessorGone();
            act(succession.beforeGone());
        }
    }

    private void dropBefore() {
        if (peers.before() != null) {
            peers.dropBefore();
            owner.sharesWith(0);
        }
    }

    // ---- Handing over to the process after ----

    private void called(Inbound from, String caller, String name, byte[] body) throws BadMessage {
        switch (name) {
            case "join" -> joined(from, caller, HandoverMessages.Join.read(body, startedAt));
            case "take" -> take(from, caller, HandoverMessages.Take.read(body));
            case "bound" -> bound(from, caller, HandoverMessages.Bound.read(body));
            case "held" -> from.answer(CallStatus.OK, List.of(), holdings().bytes());
            case "hold" -> hold(from, caller);
            case "word" -> propagation.received(from, caller, HandoverMessages.Command.read(body));
            case "callback" -> callBackCame(from, caller, body);
            default -> from.answer(CallStatus.NOT_FOUND, List.of(), "no such path\n");
        }
    }

    private void joined(Inbound from, String caller, HandoverMessages.Join join) throws BadMessage {
        if (join.startedAt() < startedAt) {
            // Guards the order of starts: whoever starts a process ends the ones before it.
            from.answer(CallStatus.GONE, List.of(), "started before this one\n");
            return;
        }
        Peer successor = new Peer(loop, Address.read(caller), join.token(), own, connectWithin);
        if (succession.asked(caller) != Succession.Action.TELL) {
            from.answer(CallStatus.CONFLICT, List.of(), servingProcess().bytes());
            return;
        }
        peers.replaceAfter(successor);
        successor.ask = join.ask();
        byte[] state = HandoverMessages.State.of(owner);
        LOG.atInfo().addKeyValue("successor", caller).log("handover.joined");
        from.answer(CallStatus.OK, List.of(), state);
    }

    /** Where the process is called that has the clients, as far as this one knows. */
    private HandoverMessages.ServingProcess servingProcess() {
        return peers.isSucceeded()
                ? new HandoverMessages.ServingProcess(peers.after().name(), peers.after().token())
                : HandoverMessages.ServingProcess.UNKNOWN;
    }

    private void take(Inbound from, String caller, HandoverMessages.Take take) {
        if (succession.hasTaken(caller)) {
            from.answer(CallStatus.OK, List.of(), holdings().bytes());
            return;
        }
        if (succession.asksToTake(caller, take.commands()) != Succession.Action.RETIRE) {
            from.answer(CallStatus.CONFLICT, List.of(), "not yet\n");
            return;
        }
        LOG.atInfo().addKeyValue("successor", caller).log("handover.retired");
        owner.retire();
        from.answer(CallStatus.OK, List.of(), holdings().bytes());
        Peer successor = peers.after();
        loop.schedule(HELD_WITHIN, () -> checkHeld(successor));
    }

    private void checkHeld(Peer successor) {
        if (successor == peers.after() && !successor.holds) {
            successorGone(successor.name());
        }
    }

    private void hold(Inbound from, String caller) {
        if (peers.isAfter(caller)) {
            peers.after().holds = true;
            from.whenGone(() -> successorGone(caller));
        } else {
            from.answer(CallStatus.CONFLICT, List.of(), "not the successor\n");
        }
    }

    private void bound(Inbound from, String caller, HandoverMessages.Bound bound) {
        if (succession.bound(caller) == Succession.Action.CLOSE) {
            owner.closeListener(bound.claimed());
            tellBound(bound.claimed());
            from.answer(CallStatus.OK, List.of(), NOTHING);
        } else {
            from.answer(CallStatus.CONFLICT, List.of(), "not the successor\n");
        }
    }

    private HandoverMessages.Holdings holdings() {
        return new HandoverMessages.Holdings(owner.descriptors(), owner.listenerNumber());
    }

    private void callBackCame(Inbound from, String caller, byte[] callBack) throws BadMessage {
        if (owner.callBackCame(callBack)) {
            from.answer(CallStatus.OK, List.of(), NOTHING);
        } else {
            forwarding.forward(callBack, caller, status -> answerNotOurs(from, status));
        }
    }

    /** A call-back that all have seen and none took is about no task that is known. */
    private static void answerNotOurs(Inbound from, int status) {
        int answer = status == CallStatus.OK ? CallStatus.NOT_FOUND : status;
        from.answer(answer, List.of(), NOTHING);
    }

    private void successorGone(String name) {
        act(succession.successorGone(name));
    }

    private void takeBack() {
        peers.dropAfter();
        LOG.atWarn().log("handover.successor_gone");
        owner.takeBack();
        if (peers.before() != null) {
            claim(owner.listenerNumber());
        }
        if (!ending) {
            fileWriter.announce();
        }
    }
}
