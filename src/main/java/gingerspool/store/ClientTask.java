package gingerspool.store;

import gingerspool.dispatch.Task;
import gingerspool.route.Routes;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import java.util.ArrayList;
import java.util.List;

/** A task in hand, with its client's connection, its request and its errands. */
public final class ClientTask extends Task {
    public final Message request;

    /** Null once the client has its answer or has gone. */
    public Inbound client;

    /** What it holds of the operator's limits, or null. */
    public Routes.Stay stay;

    /** By number of the assignment. */
    public final List<WorkerAttempt> attempts = new ArrayList<>(1);

    public ClientTask(String id, Inbound client, Message request) {
        super(id);
        this.client = client;
        this.request = request;
    }

    public int size() {
        return request.body().length;
    }
}
