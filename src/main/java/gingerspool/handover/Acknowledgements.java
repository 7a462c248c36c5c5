package gingerspool.handover;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Waits for the other processes that are told of something, and for the file that is written; then
 * says once whether all have it.
 *
 * <p>Thread: the event loop.
 */
final class Acknowledgements {
    private static final Logger LOG = LoggerFactory.getLogger(Acknowledgements.class);

    private final String call;
    private final Consumer<Boolean> done;

    /** One more than are told, until all of them are. */
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

    /** All that are to be told have been. */
    void sendingEnded() {
        peerAnswered(true);
    }

    private void finishIfComplete() {
        if (pendingAnswers == 0 && isFileWritten) {
            finish(allAcknowledged);
        }
    }

    /**
     * It takes too long. A process that has not answered makes it a no; a file that is not written
     * yet does not, as one that can't be written does not.
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
