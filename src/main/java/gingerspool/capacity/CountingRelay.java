package gingerspool.capacity;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MalformedMessageException;
import gingerspool.codec.MessageTypes;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Frames;
import gingerspool.wire.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stands between schedulers and a control node, passes every frame on, and counts frames and their
 * bytes (the length included, headers of TCP and IP not) by type and direction.
 */
final class CountingRelay implements Frames.Owner, Listener.Owner {
    private static final double CONNECT = 2000;

    /** Frames of one type in one direction. */
    record Count(long frames, long bytes) {
        Count plus(int more) {
            return new Count(frames + 1, bytes + more);
        }
    }

    /** One scheduler's connection and the one to the control node that belongs to it. */
    private static final class Pair {
        Frames scheduler;
        Frames control;
        boolean up;
        final List<byte[]> early = new ArrayList<>();
    }

    private final EventLoop loop;
    private final InetSocketAddress control;
    private final Listener listener;
    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);
    private final Map<Frames, Pair> pairs = new HashMap<>();
    private Map<String, Count> counts = new TreeMap<>();

    CountingRelay(EventLoop loop, InetSocketAddress at, InetSocketAddress control)
            throws IOException {
        this.loop = loop;
        this.control = control;
        listener = new Listener(loop, at, this);
    }

    void begin() {
        listener.acceptOn();
    }

    void close() {
        listener.close();
        List.copyOf(pairs.keySet()).forEach(Frames::close);
    }

    /** Frames of one type since the counts were last taken; in a turn. */
    long frames(String type) {
        return counts.getOrDefault(type, new Count(0, 0)).frames();
    }

    /** What was counted since the last call; in a turn. */
    Map<String, Count> take() {
        Map<String, Count> taken = counts;
        counts = new TreeMap<>();
        return taken;
    }

    @Override
    public boolean hasRoom() {
        return true;
    }

    @Override
    public void outOfDescriptors() {}

    @Override
    public void accepted(AsynchronousSocketChannel channel) {
        Pair pair = new Pair();
        pair.scheduler = Frames.accepted(loop, channel, this);
        pairs.put(pair.scheduler, pair);
        try {
            pair.control = Frames.open(loop, control, CONNECT, this);
            pairs.put(pair.control, pair);
        } catch (IOException e) {
            pair.scheduler.close();
        }
    }

    @Override
    public void up(Frames link) {
        Pair pair = pairs.get(link);
        if (pair != null) {
            pair.up = true;
            pair.early.forEach(pair.control::send);
            pair.early.clear();
        }
    }

    @Override
    public void came(Frames link, byte[] frame) {
        Pair pair = pairs.get(link);
        if (pair == null) {
            return;
        }
        boolean up = link == pair.scheduler;
        count(up ? "up " : "down ", frame);
        if (!up) {
            pair.scheduler.send(frame);
        } else if (pair.up) {
            pair.control.send(frame);
        } else {
            pair.early.add(frame);
        }
    }

    private void count(String direction, byte[] frame) {
        try {
            String type = direction + codec.read(frame).getClass().getSimpleName();
            Count now = counts.getOrDefault(type, new Count(0, 0));
            counts.put(type, now.plus(frame.length + Integer.BYTES));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void closed(Frames link) {
        Pair pair = pairs.remove(link);
        if (pair != null) {
            pair.scheduler.close();
            if (pair.control != null) {
                pair.control.close();
            }
        }
        listener.acceptOn();
    }
}
