package gingerspool.handover;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Collects the answers of the processes that one notification was sent to, and the end of writing
 * the hand-over file; then reports once whether all peers acknowledged. Used by {@link
 * CommandPropagation} and {@link CallBackForwarding}, a new one for each notification.
 *
 * <p>Thread: the event loop.
 */
final class Acknowledgements {
    private static final Logger LOG = LoggerFactory.getLogger(Acknowledgements.class);

    private final String call;
    private final Consumer<Boolean> done;

    /** Peers that have not answered, plus one until {@link #sendingEnded}. */
    private int pendingAnswers = 1;

    private boolean isFileWritten = true;
    private boolean allAcknowledged = true;
    private boolean isDone;

    Acknowledgements(String call, Consumer<Boolean> done) {
        this.call = call;
        this.done = done;
    }

    void addPeer() {
        pendingAnswers++;
    }

    void addFile() {
        isFileWritten = false;
    }

    void fileWritten() {
        isFileWritten = true;
        finishIfComplete();
    }

    void peerAnswered(boolean acknowledged) {
        allAcknowledged &= acknowledged;
        pendingAnswers--;
        finishIfComplete();
    }

    /** The notification was sent to all peers; no {@link #addPeer} follows. */
    void sendingEnded() {
        peerAnswered(true);
    }

    private void finishIfComplete() {
        if (pendingAnswers == 0 && isFileWritten) {
            finish(allAcknowledged);
        }
    }

    /**
     * Ends the wait. A peer that has not answered counts as a refusal; a file that is not written
     * yet does not, just as a file that can't be written does not.
     */
    void timeOut() {
        if (!isDone) {
            LOG.atWarn()
                    .addKeyValue("call", call)
                    .addKeyValue("unanswered", pendingAnswers)
                    .addKeyValue("written", isFileWritten)
                    .log("handover.notification_late");
            finish(allAcknowledged && pendingAnswers == 0);
        }
    }

    private void finish(boolean acknowledged) {
        if (!isDone) {
            isDone = true;
            done.accept(acknowledged);
        }
    }
}
