package gingerspool.store;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All workers ever listed by discovery, under the dense index by which the Dispatcher identifies
 * them. Workers are never removed, so an index stays valid.
 *
 * <p>Used by the daemon's scheduler. Not thread-safe.
 */
public final class WorkerDirectory {
    private final Map<String, Integer> indexes = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    /** The state that discovery last listed for each worker, a constant of the Dispatcher. */
    private final List<Integer> states = new ArrayList<>();

    private final List<Entry> entries = new ArrayList<>();

    /** Further properties that discovery last listed for a worker; started is Unix time. */
    public record Entry(String zone, String kind, int cell, double size, double started) {}

    /** Returns the index of this worker; adds the worker if it is unknown. */
    public int findOrAdd(String name) {
        Integer existing = indexes.putIfAbsent(name, names.size());
        if (existing != null) {
            return existing;
        }
        names.add(name);
        addresses.add(null);
        states.add(-1);
        entries.add(null);
        return names.size() - 1;
    }

    /** Returns the index of this worker, or -1 if it is unknown. */
    public int find(String name) {
        return indexes.getOrDefault(name, -1);
    }

    public String name(int worker) {
        return names.get(worker);
    }

    /** Returns the address that the worker listens on, or null if none was ever listed. */
    public InetSocketAddress address(int worker) {
        return addresses.get(worker);
    }

    /** Records the state that the worker is listed in. Returns whether it has changed. */
    public boolean setState(int worker, int state) {
        return states.set(worker, state) != state;
    }

    /** Returns the state that the worker is listed in, or -1 if none has been recorded. */
    public int state(int worker) {
        return states.get(worker);
    }

    /** Records the further properties that the worker is listed with. */
    public void setEntry(int worker, Entry entry) {
        entries.set(worker, entry);
    }

    /** Returns the worker's further properties, or null if none have been recorded. */
    public Entry entry(int worker) {
        return entries.get(worker);
    }

    public int size() {
        return names.size();
    }

    /**
     * Records the address that the worker listens on. Returns whether it has changed; null is
     * ignored.
     */
    public boolean setAddress(int worker, InetSocketAddress address) {
        return address != null && !address.equals(addresses.set(worker, address));
    }
}
