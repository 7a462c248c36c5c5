package gingerspool.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The tasks that the scheduler currently holds, by the identifier that clients and workers use.
 * Bounded in the number of tasks and in the total size of their request bodies; callers check
 * {@link #hasRoomFor} before they add a task.
 *
 * <p>Used by the daemon's scheduler. Not thread-safe.
 */
public final class TaskRegistry {
    private final Map<String, ClientTask> tasks = new HashMap<>();
    private final int maxTasks;
    private final long maxBodyBytes;

    /** The total size of the request bodies held. */
    private long bodyBytes;

    public TaskRegistry(int maxTasks, long maxBodyBytes) {
        this.maxTasks = maxTasks;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Whether another task with a body of this many bytes fits within both bounds. */
    public boolean hasRoomFor(int additionalBytes) {
        return tasks.size() < maxTasks && bodyBytes + additionalBytes <= maxBodyBytes;
    }

    /** Returns the task with this identifier, or null. */
    public ClientTask find(String id) {
        return tasks.get(id);
    }

    public void add(ClientTask task) {
        tasks.put(task.id, task);
        bodyBytes += task.bodyBytes();
    }

    /**
     * Removes the task if it has ended and none of its assignments is in flight; otherwise does
     * nothing.
     */
    public void release(ClientTask task) {
        if (task.ended() && task.outstanding() == 0 && tasks.remove(task.id, task)) {
            bodyBytes -= task.bodyBytes();
        }
    }

    /** Returns a copy, so that tasks may be removed while it is iterated. */
    public List<ClientTask> all() {
        return new ArrayList<>(tasks.values());
    }

    public int size() {
        return tasks.size();
    }
}
