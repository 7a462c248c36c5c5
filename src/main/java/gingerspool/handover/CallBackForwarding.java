package gingerspool.handover;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * Passes call-backs for no task of this process to those that may have it.
 *
 * <p>Thread: the event loop.
 */
final class CallBackForwarding {
    /** How long the other process may take over a call-back, in milliseconds. */
    private static final double CALL_TIMEOUT_MS = CommandPropagation.CALL_TIMEOUT_MS;

    private final HandoverPeers peers;

    CallBackForwarding(HandoverPeers peers) {
        this.peers = peers;
    }

    /** Tells all but the named one; then says with which status the call-back is answered. */
    void forward(byte[] callBack, String origin, IntConsumer answer) {
        // Whoever can't be asked and is not gone may own it: the worker then tells it again.
        Acknowledgements acknowledgements =
                new Acknowledgements(
                        "callback",
                        allAnswered ->
                                answer.accept(
                                        allAnswered ? CallStatus.OK : CallStatus.UNAVAILABLE));
        for (Peer peer : receivers(origin)) {
            acknowledgements.addPeer();
            peer.callBacks.call(
                    "callback",
                    callBack,
                    CALL_TIMEOUT_MS,
                    (status, ignored) ->
                            acknowledgements.peerAnswered(
                                    isAnswered(status) || peers.isGone(peer)));
        }
        acknowledgements.sendingEnded();
    }

    private static boolean isAnswered(int status) {
        return status != CallStatus.NO_ANSWER && status != CallStatus.UNAVAILABLE;
    }

    private List<Peer> receivers(String origin) {
        List<Peer> receivers = new ArrayList<>();
        Succession succession = peers.succession();
        if (peers.predecessor() != null
                && !peers.isPredecessor(origin)
                && succession.predecessorState() != Succession.PredecessorState.STATE_REQUESTED) {
            receivers.add(peers.predecessor());
        }
        if (peers.successor() != null
                && !peers.isSuccessor(origin)
                && peers.hasSuccessorTakenOver()) {
            receivers.add(peers.successor());
        }
        return receivers;
    }
}
