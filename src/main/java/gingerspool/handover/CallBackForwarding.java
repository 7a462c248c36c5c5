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
    private static final double PATIENCE = CommandPropagation.PATIENCE;

    private final HandoverPeers peers;

    CallBackForwarding(HandoverPeers peers) {
        this.peers = peers;
    }

    /** Tells all but the named one; then says with which status the call-back is answered. */
    void forward(byte[] callBack, String except, IntConsumer answer) {
        // Whoever can't be asked and is not gone may own it: the worker then tells it again.
        Acknowledgements all =
                new Acknowledgements(
                        "callback",
                        heard -> answer.accept(heard ? CallStatus.OK : CallStatus.UNAVAILABLE));
        for (Peer peer : receivers(except)) {
            all.addPeer();
            peer.callBacks.call(
                    "callback",
                    callBack,
                    PATIENCE,
                    (status, none) -> all.peerAnswered(isHeard(status) || peers.isGone(peer)));
        }
        all.allTold();
    }

    private static boolean isHeard(int status) {
        return status != CallStatus.NO_ANSWER && status != CallStatus.UNAVAILABLE;
    }

    private List<Peer> receivers(String except) {
        List<Peer> receivers = new ArrayList<>();
        Succession succession = peers.succession();
        if (peers.before() != null
                && !peers.isBefore(except)
                && succession.before() != Succession.Before.ASKED) {
            receivers.add(peers.before());
        }
        if (peers.after() != null && !peers.isAfter(except) && peers.isSucceeded()) {
            receivers.add(peers.after());
        }
        return receivers;
    }
}
