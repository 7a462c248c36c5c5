package gingerspool.handover;

import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import java.util.List;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends operators' commands to the predecessor, to the successor and to the hand-over file, and
 * applies the commands that those processes send. Used by {@link Handover}.
 *
 * <p>Thread: the event loop.
 */
final class CommandPropagation {
    private static final Logger LOG = LoggerFactory.getLogger(CommandPropagation.class);

    /** Time-out of one call to another process. */
    static final double CALL_TIMEOUT_MS = 700;

    /** How long the peers have to acknowledge a command that was read without delay. */
    private static final double ACKNOWLEDGE_TIMEOUT_MS = 800;

    /**
     * A joined successor that does not acknowledge a command within this fraction of the remaining
     * time is dropped.
     */
    private static final double JOINED_TIMEOUT_FRACTION = 0.5;

    /** How long after a failed call the end of the other process may still be noticed. */
    private static final double DISCONNECT_GRACE_MS = 100;

    /** An operator's call is answered within this time; 1 s is promised. */
    private static final double OPERATOR_TIMEOUT_MS = 900;

    /** The peers have at least this long, however late the operator's call was read. */
    private static final double MIN_ACKNOWLEDGE_TIMEOUT_MS = ACKNOWLEDGE_TIMEOUT_MS / 2;

    private static final byte[] EMPTY_BODY = {};

    private final EventLoop loop;
    private final HandoverPeers peers;
    private final CommandsSinceState commandsSinceState;
    private final HandoverFileWriter fileWriter;
    private final HandoverOwner owner;
    private final Consumer<String> successorGone;

    /**
     * @param successorGone is passed the address of a successor that has ended after taking over
     */
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
     * Sends a command to the peers and writes the file; then passes on whether all peers
     * acknowledged it.
     *
     * @param worker the worker that the command is about, empty for the scheduler
     * @param earliestCallTime when the operator may have called at the earliest, in milliseconds on
     *     the loop's clock
     */
    void propagate(String command, String worker, double earliestCallTime, Consumer<Boolean> done) {
        double remainingMs =
                Math.min(
                        ACKNOWLEDGE_TIMEOUT_MS,
                        earliestCallTime + OPERATOR_TIMEOUT_MS - loop.now());
        propagate(command, worker, "", Timeouts.forRemaining(remainingMs), done);
    }

    /**
     * How long the peers have to acknowledge a command.
     *
     * @param allMs for all peers, after which the command has failed
     * @param joinedMs for a joined successor, after which it is dropped and no longer needed
     */
    private record Timeouts(double allMs, double joinedMs) {
        static final Timeouts DEFAULT = forRemaining(ACKNOWLEDGE_TIMEOUT_MS);

        /** The time-outs if the operator must have the answer within `remainingMs`. */
        static Timeouts forRemaining(double remainingMs) {
            return new Timeouts(
                    Math.max(MIN_ACKNOWLEDGE_TIMEOUT_MS, remainingMs),
                    JOINED_TIMEOUT_FRACTION * Math.max(0, remainingMs));
        }
    }

    /** Sends to all peers but the one whose address is `origin`. */
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

    /** Whether this is the successor and it has the state but has not taken over yet. */
    private boolean isJoinedSuccessor(Peer peer) {
        return peer == peers.successor()
                && peers.succession().successorState() == Succession.SuccessorState.JOINED;
    }

    /**
     * A call failed before its time-out, so no process listens at the address. A successor that has
     * taken over but has not opened its `hold` call yet has ended; nothing else would show that for
     * a while.
     */
    private void checkSuccessorLives(Peer peer) {
        if (peer == peers.successor() && !peer.holdsCall) {
            successorGone.accept(peer.address());
        }
    }

    /**
     * Drops a joined successor that has not acknowledged a command. Guards against refusing every
     * operator's call after such a process has ended: before it takes over, no open call shows its
     * end. If it was only slow, its request to take over is refused and it requests the state
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

    /** Handles a command from a peer; answers once all other peers have acknowledged it. */
    void onCommand(Inbound call, String sender, HandoverMessages.Command message) {
        boolean fromPredecessor = peers.isPredecessor(sender);
        if (fromPredecessor
                && !peers.succession().isServing()
                && !commandsSinceState.isLatestRequest(message.ask())) {
            // The state requested since contains this command; applying it once more could undo a
            // later one.
            call.answer(CallStatus.OK, List.of(), EMPTY_BODY);
            return;
        }
        Runnable application = () -> apply(call, sender, message, fromPredecessor);
        if (fromPredecessor
                && peers.succession().predecessorState()
                        == Succession.PredecessorState.STATE_REQUESTED) {
            commandsSinceState.defer(application);
        } else {
            application.run();
        }
    }

    private void apply(
            Inbound call,
            String sender,
            HandoverMessages.Command message,
            boolean fromPredecessor) {
        owner.applyCommand(message.command(), message.worker());
        if (fromPredecessor) {
            commandsSinceState.applied(message.number());
        }
        propagate(
                message.command(),
                message.worker(),
                sender,
                Timeouts.DEFAULT,
                allAcknowledged ->
                        call.answer(
                                allAcknowledged ? CallStatus.OK : CallStatus.UNAVAILABLE,
                                List.of(),
                                EMPTY_BODY));
    }
}
