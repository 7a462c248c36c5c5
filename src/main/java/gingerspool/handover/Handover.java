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
 * Carries out what {@link Succession} decides: takes over from the predecessor of this process, and
 * hands over to its successor. Created and called by the daemon, which implements {@link
 * HandoverOwner}.
 *
 * <p>Thread: the event loop.
 */
public final class Handover {
    private static final Logger LOG = LoggerFactory.getLogger(Handover.class);

    /** How long the predecessor may take to retire. */
    private static final double RETIRE_TIMEOUT_MS = 1000;

    /** A successor that has not opened its `hold` call this long after taking over is gone. */
    private static final double HOLD_CALL_TIMEOUT_MS = 2000;

    /** How often the predecessor is asked for its holdings. */
    private static final double HOLDINGS_POLL_INTERVAL_MS = 100;

    private static final double CALL_TIMEOUT_MS = CommandPropagation.CALL_TIMEOUT_MS;

    /**
     * Operators may end the predecessor as soon as this process reports ready, so it does so only
     * once it gets all new connections, but at the latest this long after its start (6 s are
     * allowed) or {@link #READY_AFTER_SERVING_MS} after it began to serve, whichever is later.
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

    /** In milliseconds of Unix time. */
    private final double startedAt = processStart();

    /** The number of the predecessor's listener, as it reported. */
    private int predecessorListener = ConnectionSteering.UNKNOWN;

    private boolean stopRequested;

    /** The process was asked to stop before it served; it takes nothing over any more. */
    private boolean stoppedBeforeServing;

    /** New connections may still go to the predecessor, and the ready deadline has not passed. */
    private boolean claimPending;

    /**
     * Reads the hand-over file in the folder, on the calling thread.
     *
     * @param fileExecutor the one thread for blocking file operations
     * @param loopExecutor runs a task on the event loop, from any thread
     * @param ownAddress the management address of this process
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

    /** The suspended workers that a state lists. */
    public static List<String> suspendedWorkers(Object state) throws BadMessage {
        return HandoverFile.readSuspendedWorkers(state);
    }

    /** Whether predecessor and successor both run: they reach each other only through this one. */
    public boolean hasPredecessorAndSuccessor() {
        return peers.predecessor() != null && peers.successor() != null;
    }

    /** Whether the predecessor still runs, as far as is known. */
    public boolean hasPredecessor() {
        return peers.predecessor() != null;
    }

    /** Whether a hand-over file was found at the start. */
    public boolean hasHandoverFile() {
        return search.hasFile();
    }

    /**
     * Whether the hand-over file names this process (or can't be written) and all new connections
     * come here (or can't be claimed in time). Guards the predecessor's clients: operators end it
     * as soon as this process is ready.
     */
    public boolean isSettled() {
        return fileWriter.isAnnounced() && !claimPending;
    }

    /** Starts the search for the serving process. */
    public void begin() {
        search.begin();
        perform(succession.begin());
    }

    /** The process is to end; if it does not serve yet, it stops taking over. */
    public void leave() {
        stopRequested = true;
        if (!succession.isServing()) {
            stoppedBeforeServing = true;
            search.stop();
            dropPredecessor();
        }
    }

    /**
     * Sends an operator's command to the peers and writes the file, then passes on whether all
     * peers acknowledged it.
     *
     * @param earliestCallTime when the operator may have called, in milliseconds on the loop's
     *     clock
     */
    public void propagate(
            String command, String worker, double earliestCallTime, Consumer<Boolean> done) {
        propagation.propagate(command, worker, earliestCallTime, done);
    }

    /** Forwards a worker's call-back for an unknown task; passes on the status to answer with. */
    public void forwardCallBack(byte[] callBack, IntConsumer answer) {
        forwarding.forward(callBack, "", answer);
    }

    /** Handles a management request if it is a hand-over call; returns whether it was. */
    public boolean tryHandle(Inbound call, Message request) {
        return endpoint.tryHandle(call, request);
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

    // ---- Taking over from the predecessor ----

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
            owner.fail("a process that started later is already serving");
        }
    }

    private void serveAlone() {
        dropPredecessor();
        HandoverFile lastTarget = search.lastTarget();
        owner.adoptSuspensions(
                lastTarget == null ? List.of() : lastTarget.suspendedWorkers(),
                lastTarget != null && lastTarget.drained());
        if (bind()) {
            serve();
        }
        // Takes effect after the write of the file that names this process.
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

    /** Until this process listens, the predecessor accepts clients, so that none is refused. */
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
        owner.setPeerDescriptors(holdings.descriptors());
        predecessorListener = holdings.listener();
        peers.predecessor().hold.call("hold", EMPTY_BODY, 0, (status, none) -> predecessorGone());
        loop.schedule(HOLDINGS_POLL_INTERVAL_MS, this::pollHoldings);
        perform(succession.predecessorRetired());
    }

    /**
     * Asks the predecessor again what it holds. It closes a connection with each response to a
     * client; its first figure would leave this process only few connections for a long time.
     */
    private void pollHoldings() {
        if (peers.predecessor() != null) {
            peers.predecessor().ordered.call("held", EMPTY_BODY, CALL_TIMEOUT_MS, this::onHoldings);
        }
    }

    private void onHoldings(int status, byte[] body) {
        if (status == CallStatus.OK && peers.predecessor() != null) {
            HandoverMessages.Holdings none = new HandoverMessages.Holdings(0, predecessorListener);
            owner.setPeerDescriptors(HandoverMessages.Holdings.read(body, none).descriptors());
        }
        loop.schedule(HOLDINGS_POLL_INTERVAL_MS, this::pollHoldings);
    }

    /** Serves and claims all new connections, after which the predecessor stops listening. */
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
        owner.claimConnections(defaultListener, this::onClaimEnd);
    }

    private void onClaimTimeout() {
        if (claimPending) {
            claimPending = false;
            LOG.atWarn().log("handover.claim_late");
        }
    }

    /** After a successor has taken over, the report of its own claim is passed on instead. */
    private void onClaimEnd(boolean allClaimed) {
        claimPending = false;
        if (peers.predecessor() != null && !peers.hasSuccessorTakenOver()) {
            LOG.atInfo().addKeyValue("all", allClaimed).log("handover.claimed");
            notifyPredecessorBound(allClaimed);
        }
    }

    /** The predecessor stops listening once it gets no more connections. */
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
            owner.setPeerDescriptors(0);
        }
    }

    // ---- Handing over to the successor ----

    private void onCall(Inbound call, String caller, String name, byte[] body) throws BadMessage {
        switch (name) {
            case "join" -> onJoin(call, caller, HandoverMessages.Join.read(body, startedAt));
            case "take" -> onTake(call, caller, HandoverMessages.Take.read(body));
            case "bound" -> onBound(call, caller, HandoverMessages.Bound.read(body));
            case "held" -> call.answer(CallStatus.OK, List.of(), holdings().bytes());
            case "hold" -> onHold(call, caller);
            case "word" -> propagation.onCommand(call, caller, HandoverMessages.Command.read(body));
            case "callback" -> onCallBack(call, caller, body);
            default -> call.answer(CallStatus.NOT_FOUND, List.of(), "no such path\n");
        }
    }

    private void onJoin(Inbound call, String caller, HandoverMessages.Join join) throws BadMessage {
        if (join.startedAt() < startedAt) {
            // The process that started last must serve: operators end those started before.
            call.answer(CallStatus.GONE, List.of(), "caller started before this process\n");
            return;
        }
        Peer successor =
                new Peer(loop, Address.read(caller), join.token(), ownAddress, connectTimeoutMs);
        if (succession.stateRequested(caller) != Succession.Action.SEND_STATE) {
            call.answer(CallStatus.CONFLICT, List.of(), servingProcess().bytes());
            return;
        }
        peers.replaceSuccessor(successor);
        successor.stateRequestNumber = join.requestNumber();
        byte[] state = HandoverMessages.State.write(owner);
        LOG.atInfo().addKeyValue("successor", caller).log("handover.joined");
        call.answer(CallStatus.OK, List.of(), state);
    }

    /** The process that serves the clients instead of this one, as far as is known. */
    private HandoverMessages.ServingProcess servingProcess() {
        return peers.hasSuccessorTakenOver()
                ? new HandoverMessages.ServingProcess(
                        peers.successor().address(), peers.successor().token())
                : HandoverMessages.ServingProcess.UNKNOWN;
    }

    private void onTake(Inbound call, String caller, HandoverMessages.Take take) {
        if (succession.hasTakenOver(caller)) {
            call.answer(CallStatus.OK, List.of(), holdings().bytes());
            return;
        }
        if (succession.retirementRequested(caller, take.commandsApplied())
                != Succession.Action.RETIRE) {
            call.answer(
                    CallStatus.CONFLICT,
                    List.of(),
                    "not the latest process to join, or commands are missing\n");
            return;
        }
        LOG.atInfo().addKeyValue("successor", caller).log("handover.retired");
        owner.retire();
        call.answer(CallStatus.OK, List.of(), holdings().bytes());
        Peer successor = peers.successor();
        loop.schedule(HOLD_CALL_TIMEOUT_MS, () -> checkHoldCall(successor));
    }

    private void checkHoldCall(Peer successor) {
        if (successor == peers.successor() && !successor.holdsCall) {
            successorGone(successor.address());
        }
    }

    private void onHold(Inbound call, String caller) {
        if (peers.isSuccessor(caller)) {
            peers.successor().holdsCall = true;
            call.whenGone(() -> successorGone(caller));
        } else {
            call.answer(CallStatus.CONFLICT, List.of(), "not the successor\n");
        }
    }

    private void onBound(Inbound call, String caller, HandoverMessages.Bound bound) {
        if (succession.successorListening(caller) == Succession.Action.CLOSE_LISTENER) {
            owner.closeListener(bound.allClaimed());
            notifyPredecessorBound(bound.allClaimed());
            call.answer(CallStatus.OK, List.of(), EMPTY_BODY);
        } else {
            call.answer(CallStatus.CONFLICT, List.of(), "not the successor\n");
        }
    }

    private HandoverMessages.Holdings holdings() {
        return new HandoverMessages.Holdings(owner.descriptorCount(), owner.listenerNumber());
    }

    private void onCallBack(Inbound call, String caller, byte[] callBack) throws BadMessage {
        if (owner.handleCallBack(callBack)) {
            call.answer(CallStatus.OK, List.of(), EMPTY_BODY);
        } else {
            forwarding.forward(callBack, caller, status -> answerUnknownTask(call, status));
        }
    }

    /** A call-back that all peers have answered and none accepted is about an unknown task. */
    private static void answerUnknownTask(Inbound call, int status) {
        int answerStatus = status == CallStatus.OK ? CallStatus.NOT_FOUND : status;
        call.answer(answerStatus, List.of(), EMPTY_BODY);
    }

    private void successorGone(String address) {
        perform(succession.successorGone(address));
    }

    private void resumeServing() {
        peers.dropSuccessor();
        LOG.atWarn().log("handover.successor_gone");
        owner.resumeServing();
        if (peers.predecessor() != null) {
            claimConnections(owner.listenerNumber());
        }
        if (!stopRequested) {
            fileWriter.announce();
        }
    }
}
