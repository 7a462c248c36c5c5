package gingerspool.store;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The workers that the list has named, under the dense index that the Dispatcher knows them by. */
public final class WorkerDirectory {
    private final Map<String, Integer> indexes = new HashMap<>();
    private final List<String> names = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final List<Integer> states = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();

    /** What the list last said of a worker besides, in its own words; a start at Unix time. */
    public record Entry(String zone, String kind, int cell, double size, double started) {}

    /** The index of this worker, a new one if it has none. */
    public int index(String name) {
        Integer known = indexes.putIfAbsent(name, names.size());
        if (known != null) {
            return known;
        }
        names.add(name);
        addresses.add(null);
        states.add(-1);
        entries.add(null);
        return names.size() - 1;
    }

    /** The index of this worker, or -1. */
    public int find(String name) {
        return indexes.getOrDefault(name, -1);
    }

    public String name(int worker) {
        return names.get(worker);
    }

    /** Where it listens, or null if that was never told. */
    public InetSocketAddress address(int worker) {
        return addresses.get(worker);
    }

    /** Notes the state that it is listed in; tells whether that has changed. */
    public boolean setState(int worker, int state) {
        return states.set(worker, state) != state;
    }

    /** The state that it is listed in, -1 if none yet. */
    public int state(int worker) {
        return states.get(worker);
    }

    /** Notes what the list says of it besides. */
    public void setEntry(int worker, Entry entry) {
        entries.set(worker, entry);
    }

    public Entry entry(int worker) {
        return entries.get(worker);
    }

    public int size() {
        return names.size();
    }

    /** Notes where it listens; tells whether that has changed. */
    public boolean setAddress(int worker, InetSocketAddress address) {
        return address != null && !address.equals(addresses.set(worker, address));
    }
}
