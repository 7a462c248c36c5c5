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
    static final double PATIENCE = 700;

    /** Others have so long to acknowledge a command that was read in time, in milliseconds. */
    private static final double ANSWER_WITHIN = 800;

    /**
     * A process that has the state and acknowledges no command in this part of the time that there
     * is for it is the successor no more.
     */
    private static final double JOINED_PART = 0.5;

    /**
     * The end of another process is seen so soon after a call to it has broken, in milliseconds.
     */
    private static final double GONE_SEEN_WITHIN = 100;

    /** An operator has the answer so long after the call, in milliseconds: 1 s is owed. */
    private static final double OWED_WITHIN = 900;

    /** Others have so long at the least, in milliseconds, however late the call was read. */
    private static final double LEAST_PATIENCE = ANSWER_WITHIN / 2;

    private static final byte[] NOTHING = {};

    private final EventLoop loop;
    private final HandoverPeers peers;
    private final CommandsSinceState sinceState;
    private final HandoverFileWriter fileWriter;
    private final HandoverOwner owner;
    private final Consumer<String> successorGone;

    /** The last one is told the address of a successor that has ended after it took over. */
    CommandPropagation(
            EventLoop loop,
            HandoverPeers peers,
            CommandsSinceState sinceState,
            HandoverFileWriter fileWriter,
            HandoverOwner owner,
            Consumer<String> successorGone) {
        this.loop = loop;
        this.peers = peers;
        this.sinceState = sinceState;
        this.fileWriter = fileWriter;
        this.owner = owner;
        this.successorGone = successorGone;
    }

    /**
     * Tells the other processes and the file; then says whether all have it. The operator may have
     * called since `calledFrom`, in milliseconds on the loop's clock.
     */
    void propagate(String command, String worker, double calledFrom, Consumer<Boolean> done) {
        double left = Math.min(ANSWER_WITHIN, calledFrom + OWED_WITHIN - loop.now());
        propagate(command, worker, "", Patience.untilOwed(left), done);
    }

    /**
     * How long the other processes have to acknowledge a command, in milliseconds.
     *
     * @param ofAll whoever is needed for a yes
     * @param ofJoined a process that has the state, which a yes can do without once it is dropped
     */
    private record Patience(double ofAll, double ofJoined) {
        static final Patience USUAL = untilOwed(ANSWER_WITHIN);

        /** With so much left until the operator is to have the answer. */
        static Patience untilOwed(double left) {
            return new Patience(Math.max(LEAST_PATIENCE, left), JOINED_PART * Math.max(0, left));
        }
    }

    /** All but the one that it came from are told. */
    private void propagate(
            String command,
            String worker,
            String except,
            Patience patience,
            Consumer<Boolean> done) {
        Acknowledgements all = new Acknowledgements(command, done);
        loop.schedule(patience.ofAll, all::giveUp);
        if (peers.after() != null
                && !peers.isAfter(except)
                && peers.succession().commandToldAfter()) {
            all.addPeer();
            tell(peers.after(), command, worker, patience.ofJoined, all);
        }
        if (peers.isBesideBefore() && !peers.isBefore(except)) {
            all.addPeer();
            tell(peers.before(), command, worker, patience.ofJoined, all);
        }
        if (!peers.isSucceeded()) {
            all.addFile();
            fileWriter.write(all::written);
        }
        all.allTold();
    }

    private void tell(
            Peer peer, String command, String worker, double joinedWithin, Acknowledgements all) {
        HandoverMessages.Command message =
                new HandoverMessages.Command(command, worker, ++peer.told, peer.ask);
        double sentAt = loop.now();
        boolean hasJoined = hasJoined(peer);
        Future<?> tooLate = loop.schedule(joinedWithin, () -> dropJoined(peer));
        peer.commands.call(
                "word",
                message.bytes(),
                PATIENCE,
                (status, none) -> {
                    tooLate.cancel(false);
                    answered(peer, command, status, sentAt);
                    if (hasJoined && peers.isGone(peer)) {
                        all.peerAnswered(true);
                    } else {
                        acknowledge(peer, status, all);
                    }
                });
    }

    private void answered(Peer peer, String command, int status, double sentAt) {
        if (status != CallStatus.OK) {
            LOG.atWarn()
                    .addKeyValue("word", command)
                    .addKeyValue("status", status)
                    .log("handover.notification_failed");
            dropJoined(peer);
        }
        if (status == CallStatus.NO_ANSWER && loop.now() < sentAt + PATIENCE) {
            refusedBy(peer);
        }
    }

    private void acknowledge(Peer peer, int status, Acknowledgements all) {
        if (status == CallStatus.NO_ANSWER) {
            loop.schedule(GONE_SEEN_WITHIN, () -> all.peerAnswered(peers.isGone(peer)));
        } else {
            all.peerAnswered(status == CallStatus.OK || peers.isGone(peer));
        }
    }

    /** Whether it has the state and has not taken over: it does nothing yet. */
    private boolean hasJoined(Peer peer) {
        return peer == peers.after() && peers.succession().after() == Succession.After.JOINED;
    }

    /**
     * No connection to it comes up, so nobody listens there. A successor that has taken over and
     * does not hold its call open yet has ended: nothing else would tell of it for a while.
     */
    private void refusedBy(Peer peer) {
        if (peer == peers.after() && !peer.holds) {
            successorGone.accept(peer.name());
        }
    }

    /**
     * A process that has the state but has not taken over does not acknowledge a command: it is
     * forgotten. Guards operators' calls: no call tells when such a process ends, and each would be
     * refused for want of it. One that was only slow may not take over then, and asks for the state
     * again.
     */
    private void dropJoined(Peer peer) {
        if (!hasJoined(peer)) {
            return;
        }
        LOG.atWarn().addKeyValue("successor", peer.name()).log("handover.successor_dropped");
        peers.succession().successorGone(peer.name());
        peers.dropAfter();
    }

    /** Another process tells a command; it is answered once all others have it as well. */
    void received(Inbound from, String teller, HandoverMessages.Command message) {
        boolean fromBefore = peers.isBefore(teller);
        if (fromBefore && !peers.succession().isServing() && !sinceState.follows(message.ask())) {
            // Guards what is said later: the state that was asked for since has this command in it.
            from.answer(CallStatus.OK, List.of(), NOTHING);
            return;
        }
        Runnable carryOut = () -> carryOut(from, teller, message, fromBefore);
        if (fromBefore && peers.succession().before() == Succession.Before.ASKED) {
            sinceState.waitForState(carryOut);
        } else {
            carryOut.run();
        }
    }

    private void carryOut(
            Inbound from, String teller, HandoverMessages.Command message, boolean fromBefore) {
        owner.carryOut(message.command(), message.worker());
        if (fromBefore) {
            sinceState.carriedOut(message.number());
        }
        propagate(
                message.command(),
                message.worker(),
                teller,
                Patience.USUAL,
                all ->
                        from.answer(
                                all ? CallStatus.OK : CallStatus.UNAVAILABLE, List.of(), NOTHING));
    }
}
