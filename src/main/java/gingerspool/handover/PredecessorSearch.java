package gingerspool.handover;

import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.Executor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Looks for the process that serves and asks it for its state: first the one that the hand-over
 * file names, then whom that one or a newer file names. Ends with the state, or with the lock that
 * lets this process serve alone.
 *
 * <p>Thread: the event loop; files are read and locked by the thread of files.
 */
final class PredecessorSearch {
    private static final Logger LOG = LoggerFactory.getLogger(PredecessorSearch.class);

    /** How long the other process may take to tell its state, in milliseconds. */
    private static final double PATIENCE_STATE = 2000;

    /**
     * A process that has a successor under way, or is not serving yet, is asked again this soon, in
     * milliseconds.
     */
    private static final double ASK_AGAIN = 50;

    /** The process that serves is looked for so long; then this one serves alone. */
    private static final double SEARCH_WITHIN = 2 * PATIENCE_STATE;

    /** Who is told how the search ends. */
    interface Owner {
        /** The state came; one that can't be used counts as none. */
        void stateCame(byte[] state) throws BadMessage;

        /** Nobody told a state, and no other process serves alone. */
        void nobodyFound();

        /** A process that started later than this one serves. */
        void overtaken();
    }

    private final EventLoop loop;
    private final Executor files;
    private final Executor anyThread;
    private final Path file;
    private final InetSocketAddress own;
    private final String ownToken;
    private final double startedAt;
    private final double connectWithin;
    private final HandoverPeers peers;
    private final CommandsSinceState commands;
    private final Owner owner;
    private final HandoverFile found;
    private final SoleStartLock soleStart;

    /** The process that is asked for its state: the one of the file, or one that came after it. */
    private HandoverFile asked;

    private double searchedFrom;
    private boolean stopped;

    /** Reads the file at once. */
    PredecessorSearch(
            EventLoop loop,
            Executor files,
            Executor anyThread,
            Path file,
            InetSocketAddress own,
            String ownToken,
            double startedAt,
            double connectWithin,
            HandoverPeers peers,
            CommandsSinceState commands,
            Owner owner) {
        this.loop = loop;
        this.files = files;
        this.anyThread = anyThread;
        this.file = file;
        this.own = own;
        this.ownToken = ownToken;
        this.startedAt = startedAt;
        this.connectWithin = connectWithin;
        this.peers = peers;
        this.commands = commands;
        this.owner = owner;
        found = HandoverFile.read(file);
        asked = found;
        soleStart = new SoleStartLock(file);
    }

    /** Whether the file names a process before this one. */
    boolean hasFile() {
        return found != null;
    }

    /** What is known of the process that was asked last; null where there was no file. */
    HandoverFile lastAsked() {
        return asked;
    }

    void begin() {
        searchedFrom = loop.now();
    }

    /** The process takes nothing over any more. */
    void stop() {
        stopped = true;
    }

    /** Lets the next process that finds nobody go on; behind the files that are on their way. */
    void releaseLock() {
        files.execute(soleStart::release);
    }

    /** Asks whom the file names; without a file nobody is known who could be asked. */
    void ask() {
        if (stopped) {
            return;
        }
        if (asked == null) {
            failed("no file");
            return;
        }
        if (asked.at().equals(Address.text(own))) {
            failed("it was called where this one is, so it has ended");
            return;
        }
        try {
            if (peers.before() == null) {
                peers.setBefore(
                        new Peer(
                                loop, Address.read(asked.at()), asked.token(), own, connectWithin));
            }
        } catch (BadMessage e) {
            failed("its address is " + e.getMessage());
            return;
        }
        HandoverMessages.Join join =
                new HandoverMessages.Join(ownToken, commands.asked(), startedAt);
        peers.before().commands.call("join", join.bytes(), PATIENCE_STATE, this::answered);
    }

    private void answered(int status, byte[] body) {
        if (stopped) {
            return;
        }
        switch (status) {
            case CallStatus.OK -> stateCame(body);
            case CallStatus.CONFLICT -> lookFurther(body);
            case CallStatus.GONE -> owner.overtaken();
            case CallStatus.NO_ANSWER -> readFileAgain();
            default -> failed("status " + status);
        }
    }

    private void stateCame(byte[] body) {
        try {
            owner.stateCame(body);
        } catch (BadMessage e) {
            failed("the state is " + e.getMessage());
        }
    }

    /**
     * It has no state to tell: its successor serves, which is asked instead, or it does not serve
     * itself yet. Guards against a second process that serves beside that one and knows nothing of
     * it.
     */
    private void lookFurther(byte[] refusal) {
        if (isLate()) {
            failed("nobody told a state within " + Math.round(SEARCH_WITHIN) + " ms");
            return;
        }
        HandoverMessages.ServingProcess next = HandoverMessages.ServingProcess.read(refusal);
        if (!next.isKnown()) {
            loop.schedule(ASK_AGAIN, this::ask);
            return;
        }
        LOG.atInfo()
                .addKeyValue("of", asked.at())
                .addKeyValue("at", next.at())
                .log("handover.next");
        askInstead(asked.calledAt(next.at(), next.token()), 0);
    }

    private boolean isLate() {
        return loop.now() > searchedFrom + SEARCH_WITHIN;
    }

    private void askInstead(HandoverFile next, double pause) {
        peers.dropBefore();
        asked = next;
        loop.schedule(pause, this::ask);
    }

    /**
     * It is gone, perhaps since another one has taken over after the file was read: the file then
     * names that one by now.
     */
    private void readFileAgain() {
        files.execute(
                () -> {
                    HandoverFile newest = HandoverFile.read(file);
                    anyThread.execute(() -> fileRead(newest));
                });
    }

    private void fileRead(HandoverFile newest) {
        if (stopped) {
            return;
        }
        if (isAnother(newest) && !isLate()) {
            askInstead(newest, ASK_AGAIN);
        } else {
            failed("no answer");
        }
    }

    /**
     * Guards against two processes that start at once when the one before has gone, or where there
     * was none: both would find nobody and serve beside each other. The one that gets the lock
     * serves alone; the other one then finds it in the file.
     */
    private void failed(String why) {
        files.execute(
                () -> {
                    boolean isSole = soleStart.tryAcquire();
                    HandoverFile newest = isSole ? HandoverFile.read(file) : null;
                    anyThread.execute(() -> lockTried(isSole, newest, why));
                });
    }

    private void lockTried(boolean isSole, HandoverFile newest, String why) {
        if (stopped) {
            return;
        }
        if (!isSole && !isLate()) {
            loop.schedule(ASK_AGAIN, () -> failed(why));
        } else if (isSole && !isLate() && isAnother(newest)) {
            releaseLock();
            askInstead(newest, 0);
        } else {
            if (asked != null) {
                LOG.atWarn()
                        .addKeyValue("why", why)
                        .addKeyValue("bans", asked.suspended().size())
                        .log("handover.no_state");
            }
            owner.nobodyFound();
        }
    }

    private boolean isAnother(HandoverFile newest) {
        return newest != null && (asked == null || !newest.at().equals(asked.at()));
    }
}
