package gingerspool.experiment;

import gingerspool.dispatch.Dispatcher;
import gingerspool.dispatch.Outcome;
import gingerspool.wire.ClientEndpoint;
import gingerspool.wire.DiscoveryClient;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import gingerspool.wire.Outbound;
import gingerspool.wire.TaskRequest;
import gingerspool.wire.WorkerProtocol;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * A simple scheduler that keeps the rules, or breaks one on purpose, so that the judge is seen to
 * find it.
 */
final class BrokenScheduler implements ClientEndpoint.RequestHandler, DiscoveryClient.Follower {
    enum Way {
        SOUND,
        RESENDS,
        COPIES,
        ANSWERS_TWICE,
        DROPS,
        CLOSES,
        LATE,
        MAKES_UP,
        IGNORES_DRAINS,
        FLOODS_COLD,
        BOUNCES_WHAT_RUNS
    }

    /**
     * How long before its expiry a task is given up: a machine that is busy besides must not make
     * it late.
     */
    private static final double EARLY = 300;

    private static final class Held {
        private Inbound client;
        private Message request;
        private String worker;
        private boolean answered;
    }

    private final EventLoop loop;
    private final Way way;
    private final SplittableRandom chance;
    private final Map<String, InetSocketAddress> workers = new HashMap<>();
    private final Map<String, Integer> states = new HashMap<>();
    private final Map<String, Double> born = new HashMap<>();
    private final Set<String> profiles;
    private final Map<String, Held> tasks = new HashMap<>();
    private ClientEndpoint clients;
    private int count;

    BrokenScheduler(EventLoop loop, Way way, long seed, Set<String> profiles) {
        this.loop = loop;
        this.way = way;
        this.profiles = profiles;
        chance = new SplittableRandom(seed);
    }

    /** Listens at a port of the system's choice. */
    InetSocketAddress listen() throws IOException {
        clients =
                new ClientEndpoint(
                        loop,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        false,
                        1000,
                        this);
        clients.listen();
        clients.open();
        return (InetSocketAddress) clients.address();
    }

    void follow(InetSocketAddress discovery) {
        DiscoveryClient.open(loop, discovery, 0, 500, this);
    }

    // ---- The list ----

    @Override
    public void listBegins(long version, boolean whole) {}

    @Override
    public void listed(
            String host,
            InetSocketAddress dial,
            String zone,
            String kind,
            int cell,
            int state,
            double size,
            double started) {
        if (way == Way.IGNORES_DRAINS && workers.containsKey(host)) {
            return;
        }
        workers.put(host, dial);
        states.put(host, state);
        born.put(host, started);
    }

    @Override
    public void listEnds(boolean whole) {}

    @Override
    public void watchEnded(String why) {}

    // ---- Tasks ----

    @Override
    public boolean knowsProfile(String name) {
        return profiles.contains(name);
    }

    @Override
    public boolean inHand(String id) {
        return tasks.containsKey(id);
    }

    @Override
    public boolean hasRoomFor(int bytes) {
        return true;
    }

    private String pick(String but) {
        List<String> ready = new ArrayList<>();
        String cold = null;
        for (String w : new java.util.TreeSet<>(workers.keySet())) {
            if (states.get(w) == Dispatcher.RUNNING && !w.equals(but)) {
                // A sound one lets cold workers be: they need not be used.
                boolean isCold = born.get(w) > 0;
                cold = isCold ? w : cold;
                if (!isCold || ready.isEmpty() && workers.size() == 1) {
                    ready.add(w);
                }
            }
        }
        return way == Way.FLOODS_COLD && cold != null
                ? cold
                : ready.isEmpty() ? null : ready.get(chance.nextInt(ready.size()));
    }

    @Override
    public void arrived(TaskRequest request) {
        Inbound client = request.client();
        String id = request.id();
        double timeLeft = request.timeLeft();
        Held t = new Held();
        t.client = client;
        t.request = request.message();
        t.worker = pick(null);
        tasks.put(id, t);
        client.whenGone(() -> t.answered = true);
        if (t.worker == null) {
            ClientEndpoint.bounced(client, 0);
            t.answered = true;
            return;
        }
        send(id, t, t.worker, timeLeft);
        count++;
        if ((way == Way.RESENDS || way == Way.COPIES) && count % 5 == 0) {
            String other = pick(t.worker);
            loop.schedule(way == Way.COPIES ? 1 : 20, () -> send(id, t, other, timeLeft));
        }
        if (way == Way.BOUNCES_WHAT_RUNS && count % 5 == 0) {
            loop.schedule(5, () -> answer(id, t, () -> ClientEndpoint.bounced(client, 0)));
        }
        loop.schedule(
                timeLeft - EARLY, () -> answer(id, t, () -> ClientEndpoint.abandoned(client)));
    }

    private void answer(String id, Held t, Runnable how) {
        if (!t.answered) {
            t.answered = true;
            how.run();
        }
    }

    private void send(String id, Held t, String worker, double timeLeft) {
        try {
            Outbound c =
                    Outbound.open(
                            loop,
                            workers.get(worker),
                            250,
                            new Outbound.Owner() {
                                @Override
                                public void free(Outbound connection) {
                                    connection.close();
                                }

                                @Override
                                public void brokeAfterRest(double rested) {}

                                @Override
                                public void closed(Outbound connection) {}
                            });
            c.ask(
                    WorkerProtocol.request(t.request, workers.get(worker), timeLeft),
                    timeLeft,
                    new Outbound.Caller() {
                        @Override
                        public void answered(Message answer) {
                            Outcome how = WorkerProtocol.outcome(answer);
                            if (how != null) {
                                BrokenScheduler.this.answer(id, t, () -> end(t, how));
                            }
                        }

                        @Override
                        public void broke(boolean allWritten) {
                            BrokenScheduler.this.answer(
                                    id,
                                    t,
                                    () -> end(t, allWritten ? Outcome.RESET : Outcome.UNREACHABLE));
                        }
                    });
        } catch (IOException e) {
            answer(id, t, () -> end(t, Outcome.UNREACHABLE));
        }
    }

    private static void end(Held t, Outcome how) {
        if (how.neverRan()) {
            ClientEndpoint.bounced(t.client, 0);
        } else {
            ClientEndpoint.abandoned(t.client);
        }
    }

    @Override
    public boolean told(
            String id, String from, String state, double share, String result, Object load) {
        Held t = tasks.get(id);
        Outcome how = WorkerProtocol.outcome(state);
        if (t == null || how == null) {
            return true;
        }
        count++;
        boolean now = count % 5 == 0;
        if (how != Outcome.OK) {
            answer(id, t, () -> end(t, how));
        } else if (way == Way.DROPS && now) {
            t.answered = true;
        } else if (way == Way.CLOSES && now) {
            answer(id, t, t.client::close);
        } else if (way == Way.LATE && now) {
            t.answered = true;
            loop.schedule(900, () -> ClientEndpoint.finished(t.client, result));
        } else if (way == Way.MAKES_UP && now) {
            answer(id, t, () -> ClientEndpoint.finished(t.client, result + "0"));
        } else if (way == Way.ANSWERS_TWICE && now) {
            // A field that ends the head early smuggles a second answer behind the first.
            byte[] body = result.getBytes(StandardCharsets.UTF_8);
            answer(
                    id,
                    t,
                    () ->
                            t.client.answer(
                                    200,
                                    List.of(
                                            "\r\n"
                                                    + result
                                                    + "HTTP/1.1 200 OK\r\nContent-Length: "
                                                    + body.length),
                                    result));
        } else {
            answer(id, t, () -> ClientEndpoint.finished(t.client, result));
        }
        return true;
    }
}
