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

    private final String what;
    private final Consumer<Boolean> done;

    /** One more than are told, until all of them are. */
    private int peers = 1;

    private boolean isWritten = true;
    private boolean good = true;
    private boolean isOver;

    Acknowledgements(String what, Consumer<Boolean> done) {
        this.what = what;
        this.done = done;
    }

    void addPeer() {
        peers++;
    }

    void addFile() {
        isWritten = false;
    }

    void written() {
        isWritten = true;
        endIfComplete();
    }

    void peerAnswered(boolean well) {
        good &= well;
        peers--;
        endIfComplete();
    }

    /** All that are to be told have been. */
    void allTold() {
        peerAnswered(true);
    }

    private void endIfComplete() {
        if (peers == 0 && isWritten) {
            end(good);
        }
    }

    /**
     * It takes too long. A process that has not answered makes it a no; a file that is not written
     * yet does not, as one that can't be written does not.
     */
    void giveUp() {
        if (!isOver) {
            LOG.atWarn()
                    .addKeyValue("call", what)
                    .addKeyValue("unanswered", peers)
                    .addKeyValue("written", isWritten)
                    .log("handover.notification_late");
            end(good && peers == 0);
        }
    }

    private void end(boolean well) {
        if (!isOver) {
            isOver = true;
            done.accept(well);
        }
    }
}
