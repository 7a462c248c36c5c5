package gingerspool.handover;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;

/**
 * Forwards workers' call-backs about tasks that this process does not have to the predecessor and
 * the successor, which may have them. Used by {@link Handover}.
 *
 * <p>Thread: the event loop.
 */
final class CallBackForwarding {
    private static final double CALL_TIMEOUT_MS = CommandPropagation.CALL_TIMEOUT_MS;

    private final HandoverPeers peers;

    CallBackForwarding(HandoverPeers peers) {
        this.peers = peers;
    }

    /**
     * Forwards a call-back to all peers but the one that sent it, then passes on the status to
     * answer it with.
     *
     * @param origin the address of the peer that sent it, empty if a worker did
     */
    void forward(byte[] callBack, String origin, IntConsumer answer) {
        // A peer that can't be reached but has not ended may have the task: on the resulting 503
        // the worker repeats the call-back.
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
