package gingerspool.handover;

import gingerspool.wire.BadMessage;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The scheduler process that a {@link Handover} acts for. All calls come from the event loop. */
public interface HandoverOwner {
    /** The state for the successor, besides the suspensions: values that can be written as JSON. */
    Map<String, Object> state();

    /** Adopts the state that the predecessor sent. */
    void adoptState(Object state) throws BadMessage;

    /** Adopts what the hand-over file says, if no state could be obtained. */
    void adoptSuspensions(List<String> suspendedWorkers, boolean drained);

    /** Opens the listener beside the predecessor's; accepts clients only from {@link #serve} on. */
    void bind() throws IOException;

    void serve();

    /**
     * Directs all new connections to this process, then passes on whether that succeeded. Until
     * then they go to the predecessor's listener.
     *
     * @param predecessorListener the number of that listener
     */
    void claimConnections(int predecessorListener, Consumer<Boolean> done);

    /** The number of this process's listener, for the successor's claim. */
    int listenerNumber();

    /** The predecessor is gone: it no longer listens beside this process. */
    void predecessorGone();

    /** The successor takes over; clients that still connect here are served all the same. */
    void retire();

    /**
     * The successor listens: closes the listener once no more connections arrive.
     *
     * @param allClaimed whether all new connections go to the successor
     */
    void closeListener(boolean allClaimed);

    /** The successor is gone: serves clients again. */
    void resumeServing();

    /** The predecessor holds this many of the descriptors that both processes share. */
    void setPeerDescriptors(int descriptors);

    /** The number of descriptors that this process holds. */
    int descriptorCount();

    /** The names of the workers that operators have suspended. */
    List<String> suspendedWorkers();

    boolean isDrained();

    /**
     * Applies an operator's command that a peer sent.
     *
     * @param command suspend, resume, drain or activate
     * @param worker the worker that it is about, empty for the scheduler
     */
    void applyCommand(String command, String worker);

    /**
     * Handles a call-back that a peer forwarded; returns whether it was about a task of this one.
     */
    boolean handleCallBack(byte[] callBack) throws BadMessage;

    /** The process can't serve and has to end. */
    void fail(String reason);
}
