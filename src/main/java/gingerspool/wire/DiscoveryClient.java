package gingerspool.wire;

import gingerspool.dispatch.Dispatcher;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One watch on the list of workers, from its call to its end: one JSON object a line. */
public final class DiscoveryClient implements Outbound.Caller, Outbound.Owner {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

    /** A line comes at least every 2 s, so this much silence is a failure. */
    private static final double SILENCE = 4500;

    private static final int LINE_MOST = 4 * 1024 * 1024;

    /** Who follows the list. */
    public interface Follower {
        void listBegins(long version, boolean whole);

        /** One entry; the state is one of the Dispatcher's. */
        void listed(
                String host,
                InetSocketAddress dial,
                String zone,
                String kind,
                int cell,
                int state,
                double size,
                double started);

        void listEnds(boolean whole);

        /** The call failed or the watch ended; called once, and nothing after it. */
        void watchEnded(String why);
    }

    private final Follower follower;
    private Outbound connection;
    private byte[] line = new byte[1024];
    private int held;
    private boolean over;

    private DiscoveryClient(Follower follower) {
        this.follower = follower;
    }

    /** Calls for what changed after this version, and for all changes from then on. */
    public static DiscoveryClient open(
            EventLoop loop,
            InetSocketAddress discovery,
            long since,
            double within,
            Follower follower) {
        DiscoveryClient watch = new DiscoveryClient(follower);
        try {
            watch.connection = Outbound.open(loop, discovery, within, watch);
            String call =
                    "GET /v1/servers?follow=1&since="
                            + since
                            + " HTTP/1.1\r\nHost: "
                            + Address.text(discovery)
                            + "\r\n\r\n";
            watch.connection.ask(
                    call.getBytes(StandardCharsets.ISO_8859_1), SILENCE, watch, watch::body);
        } catch (IOException e) {
            loop.execute(() -> watch.end("no connection: " + e.getMessage()));
        }
        return watch;
    }

    private void body(byte[] bytes, int from, int to) throws BadMessage {
        if (over || connection.status() != 200) {
            return;
        }
        connection.closeAfter(SILENCE);
        for (int i = from; i < to; i++) {
            if (bytes[i] == '\n') {
                line();
                continue;
            }
            if (held == line.length) {
                if (held >= LINE_MOST) {
                    throw new BadMessage(400, "line of the list too long");
                }
                line = Arrays.copyOf(line, 2 * held);
            }
            line[held++] = bytes[i];
        }
    }

    private void line() throws BadMessage {
        int length = held;
        held = 0;
        if (length > 0 && !(length == 1 && line[0] == '\r')) {
            tell(Json.read(line, 0, length), follower);
        }
    }

    /** Tells what a list says, whole or changes only. */
    public static void tell(Object list, Follower follower) throws BadMessage {
        if (!(JsonTree.at(list, "hosts") instanceof List<?> hosts)) {
            throw new BadMessage(400, "a list without hosts");
        }
        boolean whole = JsonTree.mark(list, "whole");
        follower.listBegins((long) JsonTree.number(0, list, "seq"), whole);
        for (Object h : hosts) {
            String host = JsonTree.text("", h, "host");
            if (host.isEmpty()) {
                LOG.atWarn().addKeyValue("entry", h).log("discovery.entry_without_host");
                continue;
            }
            int state =
                    switch (JsonTree.text("", h, "health")) {
                        case "SERVING" -> Dispatcher.RUNNING;
                        case "DRAINING" -> Dispatcher.DRAINING;
                        default -> Dispatcher.GONE;
                    };
            follower.listed(
                    host,
                    dial(h),
                    JsonTree.text("", h, "site"),
                    JsonTree.text("", h, "class"),
                    (int) JsonTree.number(0, h, "block"),
                    state,
                    JsonTree.number(1, h, "share"),
                    JsonTree.number(0, h, "born_ms"));
        }
        follower.listEnds(whole);
    }

    /** Guards the list against one bad entry: without an address a worker is named but not used. */
    private static InetSocketAddress dial(Object entry) {
        try {
            return Address.read(JsonTree.text("", entry, "dial"));
        } catch (BadMessage e) {
            LOG.atWarn().addKeyValue("entry", entry).log("discovery.entry_without_address");
            return null;
        }
    }

    private void end(String why) {
        if (!over) {
            over = true;
            follower.watchEnded(why);
        }
    }

    /** Ends it without a word to the follower. */
    public void close() {
        over = true;
        if (connection != null) {
            connection.drop();
        }
    }

    @Override
    public void answered(Message answer) {
        end("ended with status " + answer.status());
    }

    @Override
    public void broke(boolean allWritten) {
        end("broke");
    }

    @Override
    public void free(Outbound free) {
        free.close();
    }

    @Override
    public void brokeAfterRest(double rested) {}

    @Override
    public void closed(Outbound closed) {}
}
