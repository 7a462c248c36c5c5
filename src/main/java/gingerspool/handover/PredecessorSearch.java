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
    private static final double STATE_TIMEOUT_MS = 2000;

    /**
     * A process that has a successor under way, or is not serving yet, is asked again this soon, in
     * milliseconds.
     */
    private static final double RETRY_DELAY_MS = 50;

    /** The process that serves is looked for so long; then this one serves alone. */
    private static final double SEARCH_TIMEOUT_MS = 2 * STATE_TIMEOUT_MS;

    /** Who is told how the search ends. */
    interface Listener {
        /** The state came; one that can't be used counts as none. */
        void stateReceived(byte[] state) throws BadMessage;

        /** Nobody told a state, and no other process serves alone. */
        void noPredecessorFound();

        /** A process that started later than this one serves. */
        void newerProcessFound();
    }

    private final EventLoop loop;
    private final Executor fileExecutor;
    private final Executor loopExecutor;
    private final Path file;
    private final InetSocketAddress ownAddress;
    private final String ownToken;
    private final double startedAt;
    private final double connectTimeoutMs;
    private final HandoverPeers peers;
    private final CommandsSinceState commandsSinceState;
    private final Listener listener;
    private final HandoverFile initialFile;
    private final SoleStartLock soleStartLock;

    /** The process that is asked for its state: the one of the file, or one that came after it. */
    private HandoverFile target;

    private double searchStartedAt;
    private boolean stopped;

    /** Reads the file at once. */
    PredecessorSearch(
            EventLoop loop,
            Executor fileExecutor,
            Executor loopExecutor,
            Path file,
            InetSocketAddress ownAddress,
            String ownToken,
            double startedAt,
            double connectTimeoutMs,
            HandoverPeers peers,
            CommandsSinceState commandsSinceState,
            Listener listener) {
        this.loop = loop;
        this.fileExecutor = fileExecutor;
        this.loopExecutor = loopExecutor;
        this.file = file;
        this.ownAddress = ownAddress;
        this.ownToken = ownToken;
        this.startedAt = startedAt;
        this.connectTimeoutMs = connectTimeoutMs;
        this.peers = peers;
        this.commandsSinceState = commandsSinceState;
        this.listener = listener;
        initialFile = HandoverFile.read(file);
        target = initialFile;
        soleStartLock = new SoleStartLock(file);
    }

    /** Whether the file names a process before this one. */
    boolean hasFile() {
        return initialFile != null;
    }

    /** What is known of the process that was asked last; null where there was no file. */
    HandoverFile lastTarget() {
        return target;
    }

    void begin() {
        searchStartedAt = loop.now();
    }

    /** The process takes nothing over any more. */
    void stop() {
        stopped = true;
    }

    /** Lets the next process that finds nobody go on; behind the files that are on their way. */
    void releaseLock() {
        fileExecutor.execute(soleStartLock::release);
    }

    /** Asks whom the file names; without a file nobody is known who could be asked. */
    void requestState() {
        if (stopped) {
            return;
        }
        if (target == null) {
            attemptSoleStart("no file");
            return;
        }
        if (target.address().equals(Address.text(ownAddress))) {
            attemptSoleStart("it was called where this one is, so it has ended");
            return;
        }
        try {
            if (peers.predecessor() == null) {
                peers.setPredecessor(
                        new Peer(
                                loop,
                                Address.read(target.address()),
                                target.token(),
                                ownAddress,
                                connectTimeoutMs));
            }
        } catch (BadMessage e) {
            attemptSoleStart("its address is " + e.getMessage());
            return;
        }
        HandoverMessages.Join join =
                new HandoverMessages.Join(ownToken, commandsSinceState.stateRequested(), startedAt);
        peers.predecessor()
                .ordered
                .call("join", join.bytes(), STATE_TIMEOUT_MS, this::stateAnswered);
    }

    private void stateAnswered(int status, byte[] body) {
        if (stopped) {
            return;
        }
        switch (status) {
            case CallStatus.OK -> stateReceived(body);
            case CallStatus.CONFLICT -> followReferral(body);
            case CallStatus.GONE -> listener.newerProcessFound();
            case CallStatus.NO_ANSWER -> rereadFile();
            default -> attemptSoleStart("status " + status);
        }
    }

    private void stateReceived(byte[] body) {
        try {
            listener.stateReceived(body);
        } catch (BadMessage e) {
            attemptSoleStart("the state is " + e.getMessage());
        }
    }

    /**
     * It has no state to tell: its successor serves, which is asked instead, or it does not serve
     * itself yet. Guards against a second process that serves beside that one and knows nothing of
     * it.
     */
    private void followReferral(byte[] refusal) {
        if (isTimedOut()) {
            attemptSoleStart("nobody told a state within " + Math.round(SEARCH_TIMEOUT_MS) + " ms");
            return;
        }
        HandoverMessages.ServingProcess next = HandoverMessages.ServingProcess.read(refusal);
        if (!next.isKnown()) {
            loop.schedule(RETRY_DELAY_MS, this::requestState);
            return;
        }
        LOG.atInfo()
                .addKeyValue("of", target.address())
                .addKeyValue("at", next.address())
                .log("handover.next");
        switchTarget(target.withAddress(next.address(), next.token()), 0);
    }

    private boolean isTimedOut() {
        return loop.now() > searchStartedAt + SEARCH_TIMEOUT_MS;
    }

    private void switchTarget(HandoverFile next, double delayMs) {
        peers.dropPredecessor();
        target = next;
        loop.schedule(delayMs, this::requestState);
    }

    /**
     * It is gone, perhaps since another one has taken over after the file was read: the file then
     * names that one by now.
     */
    private void rereadFile() {
        fileExecutor.execute(
                () -> {
                    HandoverFile newest = HandoverFile.read(file);
                    loopExecutor.execute(() -> fileReread(newest));
                });
    }

    private void fileReread(HandoverFile newest) {
        if (stopped) {
            return;
        }
        if (isDifferentProcess(newest) && !isTimedOut()) {
            switchTarget(newest, RETRY_DELAY_MS);
        } else {
            attemptSoleStart("no answer");
        }
    }

    /**
     * Guards against two processes that start at once when the one before has gone, or where there
     * was none: both would find nobody and serve beside each other. The one that gets the lock
     * serves alone; the other one then finds it in the file.
     */
    private void attemptSoleStart(String reason) {
        fileExecutor.execute(
                () -> {
                    boolean isSole = soleStartLock.tryAcquire();
                    HandoverFile newest = isSole ? HandoverFile.read(file) : null;
                    loopExecutor.execute(() -> soleStartAttempted(isSole, newest, reason));
                });
    }

    private void soleStartAttempted(boolean isSole, HandoverFile newest, String reason) {
        if (stopped) {
            return;
        }
        if (!isSole && !isTimedOut()) {
            loop.schedule(RETRY_DELAY_MS, () -> attemptSoleStart(reason));
        } else if (isSole && !isTimedOut() && isDifferentProcess(newest)) {
            releaseLock();
            switchTarget(newest, 0);
        } else {
            if (target != null) {
                LOG.atWarn()
                        .addKeyValue("why", reason)
                        .addKeyValue("bans", target.suspendedWorkers().size())
                        .log("handover.no_state");
            }
            listener.noPredecessorFound();
        }
    }

    private boolean isDifferentProcess(HandoverFile newest) {
        return newest != null && (target == null || !newest.address().equals(target.address()));
    }
}
