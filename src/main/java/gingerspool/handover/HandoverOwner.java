package gingerspool.handover;

import gingerspool.wire.BadMessage;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The process that a {@link Handover} belongs to. All calls come from the event loop. */
public interface HandoverOwner {
    /** All that the next process is to know. */
    Map<String, Object> state();

    /** The state that the process before this one told, whole. */
    void adoptState(Object state) throws BadMessage;

    /** What the hand-over file says where no state could be had. */
    void adoptBans(List<String> suspendedWorkers, boolean drained);

    /** Listens for clients, beside the other process; serves them only from serve() on. */
    void bind() throws IOException;

    void serve();

    /**
     * Has all new connections come to this process; then tells whether they do. Until then they go
     * to the listener of this number, that of the process before it.
     */
    void claim(int predecessorListener, Consumer<Boolean> done);

    /** The number of this process's listener, for the next one's claim. */
    int listenerNumber();

    /** The process before this one is gone: nobody listens beside it. */
    void predecessorGone();

    /** Another process has the clients; who still comes here is served all the same. */
    void retire();

    /**
     * That process listens: stop once no connection comes here any more. Tells whether all new ones
     * go there.
     */
    void closeListener(boolean allClaimed);

    /** That process is gone: takes clients again. */
    void takeBack();

    /** The other process holds so many descriptors of those that both share. */
    void sharesWith(int descriptors);

    int descriptors();

    /** The workers under a ban, and whether the scheduler is drained. */
    List<String> suspended();

    boolean isDrained();

    /** An operator's command from the other process: suspend, resume, drain or activate. */
    void carryOut(String command, String worker);

    /** A call-back that came to the other process; tells whether it is about a task of this one. */
    boolean callBackCame(byte[] callBack) throws BadMessage;

    /** It can't go on. */
    void fail(String reason);
}
