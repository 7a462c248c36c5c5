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
    private static final double RETIRE_TIMEOUT_MS = 1000;

    /** A successor that has taken over holds a call open from then on, in milliseconds. */
    private static final double HOLD_CALL_TIMEOUT_MS = 2000;

    /** How often the process before this one is asked what it holds, in milliseconds. */
    private static final double HOLDINGS_POLL_INTERVAL_MS = 100;

    private static final double CALL_TIMEOUT_MS = CommandPropagation.CALL_TIMEOUT_MS;

    /**
     * Operators are told yes once all new connections come here: the process before this one may be
     * ended as soon as they have it. They have it so long after the start at the latest, or so long
     * after this process serves where starting took longer; 6 s from the start are allowed. In
     * milliseconds.
     */
    private static final double READY_AFTER_START_MS = 4500;

    private static final double READY_AFTER_SERVING_MS = 1000;

    private static final byte[] EMPTY_BODY = {};

    private final EventLoop loop;
    private final InetSocketAddress ownAddress;
    private final double connectTimeoutMs;
    private final HandoverOwner owner;
    private final HandoverPeers peers = new HandoverPeers();
    private final Succession succession = peers.succession();
    private final CommandsSinceState commandsSinceState = new CommandsSinceState();
    private final PredecessorSearch search;
    private final HandoverFileWriter fileWriter;
    private final CommandPropagation propagation;
    private final CallBackForwarding forwarding = new CallBackForwarding(peers);
    private final HandoverEndpoint endpoint;

    /** When this process started, in milliseconds of Unix time. */
    private final double startedAt = processStart();

    /** The listener number of the process before this one, as it said. */
    private int predecessorListener = ConnectionSteering.UNKNOWN;

    /** The process is to end. */
    private boolean stopRequested;

    /** It is to end before it has taken over. */
    private boolean stoppedBeforeServing;

    /** New connections still go to the process before this one as well, and it is not too late. */
    private boolean claimPending;

    /**
     * Reads the hand-over file in the folder at once. Files are written by `files`, whose ends are
     * told by `anyThread`; own is where this process is called.
     */
    public Handover(
            EventLoop loop,
            Executor fileExecutor,
            Executor loopExecutor,
            Path folder,
            String schedulerName,
            InetSocketAddress ownAddress,
            double connectTimeoutMs,
            HandoverOwner owner) {
        this.loop = loop;
        this.ownAddress = ownAddress;
        this.connectTimeoutMs = connectTimeoutMs;
        this.owner = owner;
        Path file = HandoverFile.path(folder, schedulerName);
        String token = HandoverEndpoint.generateToken();
        endpoint = new HandoverEndpoint(token, this::onCall);
        fileWriter =
                new HandoverFileWriter(file, ownAddress, token, fileExecutor, loopExecutor, owner);
        search =
                new PredecessorSearch(
                        loop,
                        fileExecutor,
                        loopExecutor,
                        file,
                        ownAddress,
                        token,
                        startedAt,
                        connectTimeoutMs,
                        peers,
                        commandsSinceState,
                        new SearchListener());
        propagation =
                new CommandPropagation(
                        loop, peers, commandsSinceState, fileWriter, owner, this::successorGone);
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
        return HandoverFile.readSuspendedWorkers(state);
    }

    /**
     * Whether the processes before and after this one both live: they reach each other through it.
     */
    public boolean standsBetween() {
        return peers.predecessor() != null && peers.successor() != null;
    }

    /** Whether the process before this one still lives, as far as is known. */
    public boolean hasBefore() {
        return peers.predecessor() != null;
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
        return fileWriter.isAnnounced() && !claimPending;
    }

    /** Looks for the process that serves. */
    public void begin() {
        search.begin();
        perform(succession.begin());
    }

    /** The process is to end: one that does not serve yet takes nothing over any more. */
    public void leave() {
        stopRequested = true;
        if (!succession.isServing()) {
            stoppedBeforeServing = true;
            search.stop();
            dropPredecessor();
        }
    }

    /**
     * Tells an operator's command to the other processes and the file; then whether all have it.
     * The operator may have called since `calledFrom`, in milliseconds on the loop's clock.
     */
    public void propagate(
            String command, String worker, double earliestCallTime, Consumer<Boolean> done) {
        propagation.propagate(command, worker, earliestCallTime, done);
    }

    /**
     * A call-back for no task of ours: the status to answer it with, once the others have seen it.
     */
    public void callBack(byte[] callBack, IntConsumer answer) {
        forwarding.forward(callBack, "", answer);
    }

    /** Whether this request to the management address is for us; it is then answered. */
    public boolean takes(Inbound from, Message request) {
        return endpoint.tryHandle(from, request);
    }

    private void perform(Succession.Action action) {
        if (stoppedBeforeServing) {
            return;
        }
        switch (action) {
            case REQUEST_STATE -> search.requestState();
            case SERVE_ALONE -> serveAlone();
            case REQUEST_RETIREMENT -> requestRetirement();
            case SERVE -> serveBesidePredecessor();
            case RESUME_SERVING -> resumeServing();
            default -> {}
        }
    }

    // ---- Taking over from the process before ----

    private final class SearchListener implements PredecessorSearch.Listener {
        @Override
        public void stateReceived(byte[] state) throws BadMessage {
            owner.adoptState(HandoverMessages.State.read(state));
            LOG.atInfo().addKeyValue("bytes", state.length).log("handover.state");
            perform(succession.stateReceived());
        }

        @Override
        public void noPredecessorFound() {
            perform(succession.stateUnavailable());
        }

        @Override
        public void newerProcessFound() {
            owner.fail("a process that started later serves");
        }
    }

    private void serveAlone() {
        dropPredecessor();
        HandoverFile lastTarget = search.lastTarget();
        owner.adoptBans(
                lastTarget == null ? List.of() : lastTarget.suspendedWorkers(),
                lastTarget != null && lastTarget.drained());
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
        commandsSinceState.applyDeferred();
        owner.serve();
        fileWriter.announce();
    }

    /** It goes on taking who comes to it until this one listens too, so nobody is refused. */
    private void requestRetirement() {
        commandsSinceState.applyDeferred();
        HandoverMessages.Take take =
                new HandoverMessages.Take(commandsSinceState.lastAppliedNumber());
        peers.predecessor()
                .ordered
                .call("take", take.bytes(), RETIRE_TIMEOUT_MS, this::onRetireAnswer);
    }

    private void onRetireAnswer(int status, byte[] body) {
        if (stoppedBeforeServing) {
            return;
        }
        if (status == CallStatus.OK) {
            predecessorRetired(body);
        } else if (status == CallStatus.CONFLICT) {
            perform(succession.retirementRefused());
        } else {
            LOG.atWarn().addKeyValue("status", status).log("handover.not_retired");
            Succession.Action next = succession.predecessorGone();
            dropPredecessor();
            perform(next);
        }
    }

    private void predecessorRetired(byte[] body) {
        HandoverMessages.Holdings unknown =
                new HandoverMessages.Holdings(0, ConnectionSteering.UNKNOWN);
        HandoverMessages.Holdings holdings = HandoverMessages.Holdings.read(body, unknown);
        owner.sharesWith(holdings.descriptors());
        predecessorListener = holdings.listener();
        peers.predecessor().hold.call("hold", EMPTY_BODY, 0, (status, none) -> predecessorGone());
        loop.schedule(HOLDINGS_POLL_INTERVAL_MS, this::pollHoldings);
        perform(succession.predecessorRetired());
    }

    /**
     * Asks again what the one before holds. Guards the clients: it gives up a connection with each
     * answer, and what it held at first would leave this one few for long.
     */
    private void pollHoldings() {
        if (peers.predecessor() != null) {
            peers.predecessor().ordered.call("held", EMPTY_BODY, CALL_TIMEOUT_MS, this::onHoldings);
        }
    }

    private void onHoldings(int status, byte[] body) {
        if (status == CallStatus.OK && peers.predecessor() != null) {
            HandoverMessages.Holdings none = new HandoverMessages.Holdings(0, predecessorListener);
            owner.sharesWith(HandoverMessages.Holdings.read(body, none).descriptors());
        }
        loop.schedule(HOLDINGS_POLL_INTERVAL_MS, this::pollHoldings);
    }

    /** Serves, and has the one before listen no more once all new connections come here. */
    private void serveBesidePredecessor() {
        if (!bind()) {
            return;
        }
        serve();
        if (peers.predecessor() != null) {
            claimConnections(predecessorListener);
        }
    }

    private void claimConnections(int defaultListener) {
        claimPending = true;
        double deadline =
                Math.max(startedAt + READY_AFTER_START_MS, loop.now() + READY_AFTER_SERVING_MS);
        loop.schedule(deadline - loop.now(), this::onClaimTimeout);
        owner.claim(defaultListener, this::onClaimEnd);
    }

    private void onClaimTimeout() {
        if (claimPending) {
            claimPending = false;
            LOG.atWarn().log("handover.claim_late");
        }
    }

    /**
     * A process that was succeeded meanwhile leaves it to its successor, which tells of its own.
     */
    private void onClaimEnd(boolean allClaimed) {
        claimPending = false;
        if (peers.predecessor() != null && !peers.hasSuccessorTakenOver()) {
            LOG.atInfo().addKeyValue("all", allClaimed).log("handover.claimed");
            notifyPredecessorBound(allClaimed);
        }
    }

    /** The process before this one may stop listening once none of its clients go there. */
    private void notifyPredecessorBound(boolean allClaimed) {
        if (peers.predecessor() != null) {
            byte[] bound = new HandoverMessages.Bound(allClaimed).bytes();
            peers.predecessor().ordered.call("bound", bound, CALL_TIMEOUT_MS, (status, none) -> {});
        }
    }

    private void predecessorGone() {
        if (peers.predecessor() != null) {
            LOG.atInfo().log("handover.alone");
            claimPending = false;
            dropPredecessor();
            owner.predecessorGone();
            perform(succession.predecessorGone());
        }
    }

    private void dropPredecessor() {
        if (peers.predecessor() != null) {
            peers.dropPredecessor();
            owner.sharesWith(0);
        }
    }

    // ---- Handing over to the process after ----

    private void onCall(Inbound from, String caller, String name, byte[] body) throws BadMessage {
        switch (name) {
            case "join" -> onJoin(from, caller, HandoverMessages.Join.read(body, startedAt));
            case "take" -> onTake(from, caller, HandoverMessages.Take.read(body));
            case "bound" -> onBound(from, caller, HandoverMessages.Bound.read(body));
            case "held" -> from.answer(CallStatus.OK, List.of(), holdings().bytes());
            case "hold" -> onHold(from, caller);
            case "word" -> propagation.onCommand(from, caller, HandoverMessages.Command.read(body));
            case "callback" -> onCallBack(from, caller, body);
            default -> from.answer(CallStatus.NOT_FOUND, List.of(), "no such path\n");
        }
    }

    private void onJoin(Inbound from, String caller, HandoverMessages.Join join) throws BadMessage {
        if (join.startedAt() < startedAt) {
            // Guards the order of starts: whoever starts a process ends the ones before it.
            from.answer(CallStatus.GONE, List.of(), "started before this one\n");
            return;
        }
        Peer successor =
                new Peer(loop, Address.read(caller), join.token(), ownAddress, connectTimeoutMs);
        if (succession.stateRequested(caller) != Succession.Action.SEND_STATE) {
            from.answer(CallStatus.CONFLICT, List.of(), servingProcess().bytes());
            return;
        }
        peers.replaceSuccessor(successor);
        successor.stateRequestNumber = join.requestNumber();
        byte[] state = HandoverMessages.State.write(owner);
        LOG.atInfo().addKeyValue("successor", caller).log("handover.joined");
        from.answer(CallStatus.OK, List.of(), state);
    }

    /** Where the process is called that has the clients, as far as this one knows. */
    private HandoverMessages.ServingProcess servingProcess() {
        return peers.hasSuccessorTakenOver()
                ? new HandoverMessages.ServingProcess(
                        peers.successor().address(), peers.successor().token())
                : HandoverMessages.ServingProcess.UNKNOWN;
    }

    private void onTake(Inbound from, String caller, HandoverMessages.Take take) {
        if (succession.hasTakenOver(caller)) {
            from.answer(CallStatus.OK, List.of(), holdings().bytes());
            return;
        }
        if (succession.retirementRequested(caller, take.commandsApplied())
                != Succession.Action.RETIRE) {
            from.answer(CallStatus.CONFLICT, List.of(), "not yet\n");
            return;
        }
        LOG.atInfo().addKeyValue("successor", caller).log("handover.retired");
        owner.retire();
        from.answer(CallStatus.OK, List.of(), holdings().bytes());
        Peer successor = peers.successor();
        loop.schedule(HOLD_CALL_TIMEOUT_MS, () -> checkHoldCall(successor));
    }

    private void checkHoldCall(Peer successor) {
        if (successor == peers.successor() && !successor.holdsCall) {
            successorGone(successor.address());
        }
    }

    private void onHold(Inbound from, String caller) {
        if (peers.isSuccessor(caller)) {
            peers.successor().holdsCall = true;
            from.whenGone(() -> successorGone(caller));
        } else {
            from.answer(CallStatus.CONFLICT, List.of(), "not the successor\n");
        }
    }

    private void onBound(Inbound from, String caller, HandoverMessages.Bound bound) {
        if (succession.successorListening(caller) == Succession.Action.CLOSE_LISTENER) {
            owner.closeListener(bound.allClaimed());
            notifyPredecessorBound(bound.allClaimed());
            from.answer(CallStatus.OK, List.of(), EMPTY_BODY);
        } else {
            from.answer(CallStatus.CONFLICT, List.of(), "not the successor\n");
        }
    }

    private HandoverMessages.Holdings holdings() {
        return new HandoverMessages.Holdings(owner.descriptors(), owner.listenerNumber());
    }

    private void onCallBack(Inbound from, String caller, byte[] callBack) throws BadMessage {
        if (owner.callBackCame(callBack)) {
            from.answer(CallStatus.OK, List.of(), EMPTY_BODY);
        } else {
            forwarding.forward(callBack, caller, status -> answerUnknownTask(from, status));
        }
    }

    /** A call-back that all have seen and none took is about no task that is known. */
    private static void answerUnknownTask(Inbound from, int status) {
        int answerStatus = status == CallStatus.OK ? CallStatus.NOT_FOUND : status;
        from.answer(answerStatus, List.of(), EMPTY_BODY);
    }

    private void successorGone(String address) {
        perform(succession.successorGone(address));
    }

    private void resumeServing() {
        peers.dropSuccessor();
        LOG.atWarn().log("handover.successor_gone");
        owner.takeBack();
        if (peers.predecessor() != null) {
            claimConnections(owner.listenerNumber());
        }
        if (!stopRequested) {
            fileWriter.announce();
        }
    }
}
