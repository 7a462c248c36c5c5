package gingerspool.handover;

import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import java.util.List;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells operators' commands to the processes before and after this one and to the hand-over file,
 * and carries out those that the other processes tell.
 *
 * <p>Thread: the event loop.
 */
final class CommandPropagation {
    private static final Logger LOG = LoggerFactory.getLogger(CommandPropagation.class);

    /** How long the other process may take over a command, in milliseconds. */
    static final double CALL_TIMEOUT_MS = 700;

    /** Others have so long to acknowledge a command that was read in time, in milliseconds. */
    private static final double ACKNOWLEDGE_TIMEOUT_MS = 800;

    /**
     * A process that has the state and acknowledges no command in this part of the time that there
     * is for it is the successor no more.
     */
    private static final double JOINED_TIMEOUT_FRACTION = 0.5;

    /**
     * The end of another process is seen so soon after a call to it has broken, in milliseconds.
     */
    private static final double DISCONNECT_GRACE_MS = 100;

    /** An operator has the answer so long after the call, in milliseconds: 1 s is owed. */
    private static final double OPERATOR_TIMEOUT_MS = 900;

    /** Others have so long at the least, in milliseconds, however late the call was read. */
    private static final double MIN_ACKNOWLEDGE_TIMEOUT_MS = ACKNOWLEDGE_TIMEOUT_MS / 2;

    private static final byte[] EMPTY_BODY = {};

    private final EventLoop loop;
    private final HandoverPeers peers;
    private final CommandsSinceState commandsSinceState;
    private final HandoverFileWriter fileWriter;
    private final HandoverOwner owner;
    private final Consumer<String> successorGone;

    /** The last one is told the address of a successor that has ended after it took over. */
    CommandPropagation(
            EventLoop loop,
            HandoverPeers peers,
            CommandsSinceState commandsSinceState,
            HandoverFileWriter fileWriter,
            HandoverOwner owner,
            Consumer<String> successorGone) {
        this.loop = loop;
        this.peers = peers;
        this.commandsSinceState = commandsSinceState;
        this.fileWriter = fileWriter;
        this.owner = owner;
        this.successorGone = successorGone;
    }

    /**
     * Tells the other processes and the file; then says whether all have it. The operator may have
     * called since `calledFrom`, in milliseconds on the loop's clock.
     */
    void propagate(String command, String worker, double earliestCallTime, Consumer<Boolean> done) {
        double remainingMs =
                Math.min(
                        ACKNOWLEDGE_TIMEOUT_MS,
                        earliestCallTime + OPERATOR_TIMEOUT_MS - loop.now());
        propagate(command, worker, "", Timeouts.forRemaining(remainingMs), done);
    }

    /**
     * How long the other processes have to acknowledge a command, in milliseconds.
     *
     * @param ofAll whoever is needed for a yes
     * @param ofJoined a process that has the state, which a yes can do without once it is dropped
     */
    private record Timeouts(double allMs, double joinedMs) {
        static final Timeouts DEFAULT = forRemaining(ACKNOWLEDGE_TIMEOUT_MS);

        /** With so much left until the operator is to have the answer. */
        static Timeouts forRemaining(double remainingMs) {
            return new Timeouts(
                    Math.max(MIN_ACKNOWLEDGE_TIMEOUT_MS, remainingMs),
                    JOINED_TIMEOUT_FRACTION * Math.max(0, remainingMs));
        }
    }

    /** All but the one that it came from are told. */
    private void propagate(
            String command,
            String worker,
            String origin,
            Timeouts timeouts,
            Consumer<Boolean> done) {
        Acknowledgements acknowledgements = new Acknowledgements(command, done);
        loop.schedule(timeouts.allMs, acknowledgements::timeOut);
        if (peers.successor() != null
                && !peers.isSuccessor(origin)
                && peers.succession().countCommandForSuccessor()) {
            acknowledgements.addPeer();
            send(peers.successor(), command, worker, timeouts.joinedMs, acknowledgements);
        }
        if (peers.hasRetiredPredecessor() && !peers.isPredecessor(origin)) {
            acknowledgements.addPeer();
            send(peers.predecessor(), command, worker, timeouts.joinedMs, acknowledgements);
        }
        if (!peers.hasSuccessorTakenOver()) {
            acknowledgements.addFile();
            fileWriter.write(acknowledgements::fileWritten);
        }
        acknowledgements.sendingEnded();
    }

    private void send(
            Peer peer,
            String command,
            String worker,
            double joinedTimeoutMs,
            Acknowledgements acknowledgements) {
        HandoverMessages.Command message =
                new HandoverMessages.Command(
                        command, worker, ++peer.commandsSent, peer.stateRequestNumber);
        double sentAt = loop.now();
        boolean wasJoinedSuccessor = isJoinedSuccessor(peer);
        Future<?> dropTimer = loop.schedule(joinedTimeoutMs, () -> dropJoinedSuccessor(peer));
        peer.ordered.call(
                "word",
                message.bytes(),
                CALL_TIMEOUT_MS,
                (status, ignored) -> {
                    dropTimer.cancel(false);
                    commandAnswered(peer, command, status, sentAt);
                    if (wasJoinedSuccessor && peers.isGone(peer)) {
                        acknowledgements.peerAnswered(true);
                    } else {
                        acknowledge(peer, status, acknowledgements);
                    }
                });
    }

    private void commandAnswered(Peer peer, String command, int status, double sentAt) {
        if (status != CallStatus.OK) {
            LOG.atWarn()
                    .addKeyValue("word", command)
                    .addKeyValue("status", status)
                    .log("handover.notification_failed");
            dropJoinedSuccessor(peer);
        }
        if (status == CallStatus.NO_ANSWER && loop.now() < sentAt + CALL_TIMEOUT_MS) {
            checkSuccessorLives(peer);
        }
    }

    private void acknowledge(Peer peer, int status, Acknowledgements acknowledgements) {
        if (status == CallStatus.NO_ANSWER) {
            loop.schedule(
                    DISCONNECT_GRACE_MS, () -> acknowledgements.peerAnswered(peers.isGone(peer)));
        } else {
            acknowledgements.peerAnswered(status == CallStatus.OK || peers.isGone(peer));
        }
    }

    /** Whether it has the state and has not taken over: it does nothing yet. */
    private boolean isJoinedSuccessor(Peer peer) {
        return peer == peers.successor()
                && peers.succession().successorState() == Succession.SuccessorState.JOINED;
    }

    /**
     * No connection to it comes up, so nobody listens there. A successor that has taken over and
     * does not hold its call open yet has ended: nothing else would tell of it for a while.
     */
    private void checkSuccessorLives(Peer peer) {
        if (peer == peers.successor() && !peer.holdsCall) {
            successorGone.accept(peer.address());
        }
    }

    /**
     * A process that has the state but has not taken over does not acknowledge a command: it is
     * forgotten. Guards operators' calls: no call tells when such a process ends, and each would be
     * refused for want of it. One that was only slow may not take over then, and asks for the state
     * again.
     */
    private void dropJoinedSuccessor(Peer peer) {
        if (!isJoinedSuccessor(peer)) {
            return;
        }
        LOG.atWarn().addKeyValue("successor", peer.address()).log("handover.successor_dropped");
        peers.succession().successorGone(peer.address());
        peers.dropSuccessor();
    }

    /** Another process tells a command; it is answered once all others have it as well. */
    void onCommand(Inbound from, String sender, HandoverMessages.Command message) {
        boolean fromPredecessor = peers.isPredecessor(sender);
        if (fromPredecessor
                && !peers.succession().isServing()
                && !commandsSinceState.isLatestRequest(message.ask())) {
            // Guards what is said later: the state that was asked for since has this command in it.
            from.answer(CallStatus.OK, List.of(), EMPTY_BODY);
            return;
        }
        Runnable application = () -> apply(from, sender, message, fromPredecessor);
        if (fromPredecessor
                && peers.succession().predecessorState()
                        == Succession.PredecessorState.STATE_REQUESTED) {
            commandsSinceState.defer(application);
        } else {
            application.run();
        }
    }

    private void apply(
            Inbound from,
            String sender,
            HandoverMessages.Command message,
            boolean fromPredecessor) {
        owner.carryOut(message.command(), message.worker());
        if (fromPredecessor) {
            commandsSinceState.applied(message.number());
        }
        propagate(
                message.command(),
                message.worker(),
                sender,
                Timeouts.DEFAULT,
                allAcknowledged ->
                        from.answer(
                                allAcknowledged ? CallStatus.OK : CallStatus.UNAVAILABLE,
                                List.of(),
                                EMPTY_BODY));
    }
}
