package gingerspool.standin;

import gingerspool.wire.Address;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Message;
import gingerspool.wire.Outbound;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** A worker's call-backs to one scheduler: each tried until it is answered, ten times at most. */
final class CallBacks implements Outbound.Owner {
    private static final int TRIES = 10;
    private static final double FIRST_PAUSE = 20;
    private static final double PATIENCE = 2000;
    private static final double CONNECT = 500;

    private final EventLoop loop;
    private final InetSocketAddress to;
    private final Deque<Outbound> free = new ArrayDeque<>();
    private final Set<Outbound> all = new HashSet<>();
    private boolean shut;
    private boolean silent;

    CallBacks(EventLoop loop, InetSocketAddress to) {
        this.loop = loop;
        this.to = to;
    }

    /** Says this, after so long a delay. */
    void say(String json, double delay) {
        if (delay > 0) {
            loop.schedule(delay, () -> attempt(json, 1));
        } else {
            attempt(json, 1);
        }
    }

    private void attempt(String json, int number) {
        if (shut) {
            return;
        }
        if (silent) {
            // Cut off: nothing gets through, and it is tried again.
            again(json, number);
            return;
        }
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        byte[] head =
                ("POST /callback HTTP/1.1\r\nHost: "
                                + Address.text(to)
                                + "\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        Outbound c = free.poll();
        try {
            if (c == null) {
                c = Outbound.open(loop, to, CONNECT, this);
                all.add(c);
            }
        } catch (IOException e) {
            again(json, number);
            return;
        }
        c.ask(
                whole,
                PATIENCE,
                new Outbound.Caller() {
                    @Override
                    public void answered(Message answer) {
                        if (answer.status() != 200 && answer.status() != 204) {
                            again(json, number);
                        }
                    }

                    @Override
                    public void broke(boolean allWritten) {
                        again(json, number);
                    }
                });
    }

    private void again(String json, int number) {
        if (number < TRIES && !shut) {
            loop.schedule(
                    FIRST_PAUSE * (1 << Math.min(number, 6)), () -> attempt(json, number + 1));
        }
    }

    /** Cut off or back: what is open breaks as it comes back. */
    void silence(boolean is) {
        silent = is;
        closeAll();
    }

    /** The worker died: nothing more is said. */
    void shut() {
        shut = true;
        closeAll();
    }

    private void closeAll() {
        for (Outbound c : new HashSet<>(all)) {
            c.close();
        }
    }

    @Override
    public void free(Outbound connection) {
        free.push(connection);
    }

    @Override
    public void brokeAfterRest(double rested) {}

    @Override
    public void closed(Outbound connection) {
        free.remove(connection);
        all.remove(connection);
    }
}
