package gingerspool.store;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The tasks in hand, by the id that clients and workers call them. */
public final class TaskRegistry {
    private final Map<String, ClientTask> tasks = new HashMap<>();
    private final int most;
    private final long mostBytes;
    private long bytes;

    public TaskRegistry(int most, long mostBytes) {
        this.most = most;
        this.mostBytes = mostBytes;
    }

    public boolean hasRoomFor(int more) {
        return tasks.size() < most && bytes + more <= mostBytes;
    }

    public ClientTask find(String id) {
        return tasks.get(id);
    }

    public void add(ClientTask t) {
        tasks.put(t.id, t);
        bytes += t.size();
    }

    /** Lets a task go once it has its answer and nothing of it is out. */
    public void release(ClientTask t) {
        if (t.ended() && t.outstanding() == 0 && tasks.remove(t.id, t)) {
            bytes -= t.size();
        }
    }

    public List<ClientTask> all() {
        return new ArrayList<>(tasks.values());
    }

    public int size() {
        return tasks.size();
    }
}
