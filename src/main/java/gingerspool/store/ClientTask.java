package gingerspool.store;

import gingerspool.dispatch.Task;
import gingerspool.route.Routes;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import java.util.ArrayList;
import java.util.List;

/**
 * A task held by the daemon's scheduler, with the connection of its client, its request and its
 * assignments to workers. Used on the scheduler's event loop thread.
 */
public final class ClientTask extends Task {
    public final Message request;

    /** The client's connection; null once the client has been answered or has disconnected. */
    public Inbound client;

    /** The task's place within the limits that the operator set for its route, or null. */
    public Routes.Admission admission;

    /** All attempts so far, indexed by the number of the assignment. */
    public final List<WorkerAttempt> attempts = new ArrayList<>(1);

    public ClientTask(String id, Inbound client, Message request) {
        super(id);
        this.client = client;
        this.request = request;
    }

    /** Returns the size of the request body in bytes. */
    public int bodyBytes() {
        return request.body().length;
    }
}
