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
 * Searches for the serving process and requests its state: first from the process that the
 * hand-over file names, then from those that this one or a newer file refers to. Ends with the
 * state, or with the lock that lets this process serve alone. Used by {@link Handover}.
 *
 * <p>Thread: the event loop; files are read and locked on the file executor.
 */
final class PredecessorSearch {
    private static final Logger LOG = LoggerFactory.getLogger(PredecessorSearch.class);

    /** How long another process may take to send its state. */
    private static final double STATE_TIMEOUT_MS = 2000;

    /**
     * Delay before the next request to a process that does not serve yet, and before the next
     * attempt to get the lock or to call a process that a newer file names.
     */
    private static final double RETRY_DELAY_MS = 50;

    /** After this time without a state, this process serves alone. */
    private static final double SEARCH_TIMEOUT_MS = 2 * STATE_TIMEOUT_MS;

    /** Is notified of the end of the search. */
    interface Listener {
        /** The state was received; if it is unusable, the search goes on as without a state. */
        void stateReceived(byte[] state) throws BadMessage;

        /** No process sent a state, and this one may serve alone. */
        void noPredecessorFound();

        /** A process that started later than this one is already serving. */
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

    /**
     * The process to request the state from: the one that the file names, or one that took over
     * from it; null if no file names one.
     */
    private HandoverFile target;

    private double searchStartedAt;
    private boolean stopped;

    /** Reads the hand-over file, on the calling thread. */
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

    /** Whether a hand-over file was found at the start. */
    boolean hasFile() {
        return initialFile != null;
    }

    /** What is known of the process that was called last; null if there was no file. */
    HandoverFile lastTarget() {
        return target;
    }

    void begin() {
        searchStartedAt = loop.now();
    }

    /** Ends the search without a result: the process is to end. */
    void stop() {
        stopped = true;
    }

    /** Releases the lock once the files that are being written are complete. */
    void releaseLock() {
        fileExecutor.execute(soleStartLock::release);
    }

    /** Requests the state from the present target, if there is one. */
    void requestState() {
        if (stopped) {
            return;
        }
        if (target == null) {
            attemptSoleStart("no hand-over file");
            return;
        }
        if (target.address().equals(Address.text(ownAddress))) {
            attemptSoleStart("predecessor had the address of this process, so it has ended");
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
            attemptSoleStart("invalid predecessor address: " + e.getMessage());
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
            attemptSoleStart("unusable state: " + e.getMessage());
        }
    }

    /**
     * The target refused to send its state: either its successor serves, which is called instead,
     * or it does not serve yet and is called again. Guards against a second process that serves
     * beside that one without knowing of it.
     */
    private void followReferral(byte[] refusal) {
        if (isTimedOut()) {
            attemptSoleStart(
                    "no process sent its state within " + Math.round(SEARCH_TIMEOUT_MS) + " ms");
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
     * The target did not answer. It may have ended because another process took over after the file
     * was read; the file then names that process by now.
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
     * Serves alone if the lock can be acquired. Guards against two processes that start at once
     * after the predecessor has ended, or without any: both would find no process and serve beside
     * each other. The one that gets the lock serves alone; the other one then finds it in the file.
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
