package gingerspool.standin;

import gingerspool.wire.EventLoop;
import gingerspool.wire.Listener;
import gingerspool.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The list of workers, watched by schedulers; each has an address of its own, so that it is known
 * who asks.
 */
final class Discovery {
    private static final double EMPTY_LINE_EVERY = 2000;

    private final EventLoop loop;
    private final ExecutionLog log;
    private final List<Listener> listeners = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();
    private final Map<Link, Integer> watches = new LinkedHashMap<>();
    private final Set<Link> links = new HashSet<>();
    private final Map<Worker, String> health = new LinkedHashMap<>();
    private final Map<Worker, Long> changed = new HashMap<>();
    private long version = 1;
    private boolean down;
    private double slow;

    Discovery(EventLoop loop, int schedulers, ExecutionLog log) throws IOException {
        this.loop = loop;
        this.log = log;
        for (int s = 0; s < schedulers; s++) {
            int from = s;
            Listener l = Acceptor.at(loop, 0, () -> true, channel -> accept(channel, from));
            listeners.add(l);
            addresses.add((InetSocketAddress) l.address());
        }
    }

    InetSocketAddress address(int scheduler) {
        return addresses.get(scheduler);
    }

    void begin() {
        listeners.forEach(Listener::acceptOn);
        beat();
    }

    private void beat() {
        for (Link l : watches.keySet()) {
            chunk(l, "\n");
        }
        loop.schedule(EMPTY_LINE_EVERY, this::beat);
    }

    private static void chunk(Link l, String line) {
        byte[] text = line.getBytes(StandardCharsets.UTF_8);
        String head = Integer.toHexString(text.length) + "\r\n";
        l.send((head + line + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    private void accept(AsynchronousSocketChannel channel, int scheduler) {
        Link link =
                new Link(
                        loop,
                        channel,
                        new Link.Server() {
                            @Override
                            public void asked(Link l, Message request, double firstByteAt) {
                                if (slow > 0) {
                                    loop.schedule(slow, () -> call(l, request, scheduler));
                                } else {
                                    call(l, request, scheduler);
                                }
                            }

                            @Override
                            public int resetAfter() {
                                return -1;
                            }

                            @Override
                            public void reset() {}

                            @Override
                            public void closed(Link l) {
                                links.remove(l);
                                watches.remove(l);
                            }
                        });
        links.add(link);
        link.start();
    }

    private void call(Link l, Message request, int scheduler) {
        if (down) {
            l.answer(Link.message(503, "", ""));
            return;
        }
        String target = request.target();
        if (!target.startsWith("/v1/servers")) {
            l.answer(Link.message(404, "", ""));
            return;
        }
        if (!target.contains("follow=1")) {
            l.answer(Link.message(200, "", list(version, 0, scheduler)));
            return;
        }
        int at = target.indexOf("since=");
        long since = 0;
        try {
            since =
                    at < 0
                            ? 0
                            : Long.parseLong(target.substring(at + 6).replaceAll("[^0-9].*", ""));
        } catch (NumberFormatException e) {
            // As if nothing had been said.
        }
        l.send(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        .getBytes(StandardCharsets.ISO_8859_1));
        chunk(l, list(version, since > version ? 0 : since, scheduler) + "\n");
        watches.put(l, scheduler);
    }

    /** What changed after this version; the whole list where that is 0. Telling it is logged. */
    private String list(long as, long since, int scheduler) {
        StringBuilder text =
                new StringBuilder("{\"seq\":")
                        .append(as)
                        .append(",\"whole\":")
                        .append(since == 0)
                        .append(",\"hosts\":[");
        boolean first = true;
        for (Map.Entry<Worker, String> e : health.entrySet()) {
            Worker w = e.getKey();
            boolean gone = e.getValue().equals("DELETED");
            if (changed.get(w) <= since || gone && since == 0) {
                if (gone && since == 0) {
                    log.write(loop.now(), w.name, "told", "-", scheduler, "DELETED");
                }
                continue;
            }
            text.append(first ? "" : ",").append(entry(w, e.getValue(), scheduler));
            first = false;
            log.write(loop.now(), w.name, "told", "-", scheduler, e.getValue());
        }
        return text.append("]}").toString();
    }

    private static String entry(Worker w, String state, int scheduler) {
        return String.format(
                        Locale.ROOT,
                        "{\"host\":\"%s\",\"dial\":\"127.0.0.1:%d\",\"site\":\"%s\",",
                        w.name,
                        w.port(scheduler),
                        w.zone)
                + String.format(
                        Locale.ROOT,
                        "\"class\":\"m\",\"block\":%d,\"health\":\"%s\",\"share\":%d,\"born_ms\":%.0f}",
                        w.number / 4,
                        state,
                        w.size(),
                        w.born);
    }

    /** Lists a worker in this state, and tells all who watch. */
    void set(Worker w, String state) {
        version++;
        health.put(w, state);
        changed.put(w, version);
        log.write(loop.now(), w.name, "listed", "-", -1, state);
        if (!down) {
            watches.forEach((l, s) -> chunk(l, list(version, version - 1, s) + "\n"));
        }
    }

    /** Down or up again: watches end, calls are answered 503. */
    void down(boolean is) {
        down = is;
        log.write(loop.now(), "discovery", is ? "down" : "up", "-", -1, "");
        if (is) {
            for (Link l : new ArrayList<>(links)) {
                l.close();
            }
        }
    }

    void slow(double ms) {
        slow = ms;
    }

    /**
     * Tells all who watch the whole list under an older version, as one that was restored from a
     * backup would.
     */
    void goBack() {
        version = Math.max(1, version / 2);
        changed.replaceAll((w, v) -> Math.min(v, version));
        watches.forEach((l, s) -> chunk(l, list(version, 0, s) + "\n"));
    }
}
