package gingerspool.load;

import gingerspool.scenario.Plan;
import gingerspool.scenario.RecordWriter;
import gingerspool.scenario.Scenario;
import gingerspool.wire.LateSpan;
import gingerspool.wire.Message;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;

/**
 * Plays the requests of a plan in an open loop: each goes out when it is due, whoever is busy, and
 * its latency counts from then. Make it, call play() on the loop; whenDone runs after the last
 * answer. Its record is one line a try.
 */
public final class Load implements Client.Owner {
    /** How much longer than its time a client listens, so that late answers are seen. */
    private static final double LISTENS_ON = 1000;

    private static final double LEAST_LEFT = 10;

    /** One try of a request. */
    static final class Try {
        final Plan.Request request;
        final int number;
        final String id;
        final double sent;
        final double expiry;
        boolean over;

        /** When the time that it has left was told to the scheduler; NaN before. */
        double written = Double.NaN;

        /** Its client means to go away and has done so. */
        boolean left;

        Try(Plan.Request request, int number, String id, double sent, double expiry) {
            this.request = request;
            this.number = number;
            this.id = id;
            this.sent = sent;
            this.expiry = expiry;
        }
    }

    private final SingleThreadEventLoop loop;
    private final Plan plan;
    private final Scenario scenario;
    private final List<InetSocketAddress> schedulers;

    /** No new connections go to these schedulers. */
    private final boolean[] closed;

    /** Those of them whose connections are used while they stay open. */
    private final boolean[] leaving;

    private final List<Deque<Client>> free = new ArrayList<>();
    private final Deque<Try> waiting = new ArrayDeque<>();
    private final RecordWriter record;
    private final Arrivals arrivals;
    private final SplittableRandom chance;
    private final Histogram lateness = new Histogram(3_600_000_000L, 3);
    private final Histogram latency = new Histogram(3_600_000_000L, 3);
    private Runnable whenDone = () -> {};
    private double begun;
    private int next;
    private int open;
    private int connections;
    private int finished;
    private int bounced;
    private int failed;
    private int asked;
    private boolean over;

    /**
     * Added to each wake-up, to show that latency counts from when a request was due; for tests.
     */
    double slowedBy;

    public Load(
            SingleThreadEventLoop loop, Plan plan, List<InetSocketAddress> schedulers, Path file)
            throws IOException {
        this.loop = loop;
        this.plan = plan;
        this.schedulers = schedulers;
        scenario = plan.scenario;
        closed = new boolean[schedulers.size()];
        leaving = new boolean[schedulers.size()];
        schedulers.forEach(s -> free.add(new ArrayDeque<>()));
        record = new RecordWriter(file);
        arrivals = new Arrivals(loop);
        chance = new SplittableRandom(plan.seed ^ 0x10adL);
        for (Scenario.Kind k : scenario.kinds.values()) {
            record.write(
                    "kind\t%s\t%s\t%.3f\t%.3f\t%.3f\t%s\t%.6f\t%.6f",
                    k.name,
                    k.effect,
                    k.due,
                    k.expiry,
                    k.window,
                    k.scope,
                    k.utility,
                    k.tardyUtility);
        }
    }

    /** Begins now; `then` runs once, after the last answer. */
    public void play(Runnable then) {
        whenDone = then;
        begun = loop.now();
        loop.setLatenessListener(this::note);
        record.write("begin\t%.3f\t%.3f", begun, scenario.length);
        sendDue();
        double until = begun + scenario.length;
        new HostileClients(loop, arrivals, chance, schedulers, this::choose, () -> over, until)
                .play(scenario.load);
    }

    /**
     * Notes what befalls a scheduler at this time: killed, terminated, drained, up, or what leaves
     * it open. No new connections go to one of the first three until it is up.
     */
    public void note(int scheduler, String what, double atMs) {
        boolean down = what.equals("killed") || what.equals("terminated") || what.equals("drained");
        closed[scheduler] = down || closed[scheduler] && !what.equals("up");
        leaving[scheduler] =
                closed[scheduler] && (leaving[scheduler] || down) && !what.equals("killed");
        record.write("scheduler\t%d\t%s\t%.3f", scheduler, what, atMs);
    }

    /**
     * Notes that a process of a scheduler was paused, or went on, and how many others of that
     * scheduler lived beside it then, or since the pause began.
     */
    public void notePause(int scheduler, String what, double atMs, long pid, int others) {
        record.write("scheduler\t%d\t%s\t%.3f\t%d\t%d", scheduler, what, atMs, pid, others);
    }

    /** Notes what befell the tool or the disk at this time. */
    public void note(String part, String what, double atMs) {
        record.write("%s\t%s\t%.3f", part, what, atMs);
    }

    /** Notes that this loop was late, which may be why something counts as late. */
    private void note(LateSpan late) {
        record.write(
                "tool\tlate\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f",
                late.fromMs(), late.untilMs(), late.ranMs(), late.waitedMs(), late.blockedMs());
    }

    /** Notes how a call of an operator ended. */
    public void note(OperatorCall call) {
        record.write("%s", call.line());
    }

    private void sendDue() {
        double now = loop.now() - begun;
        while (next < plan.requests.size() && plan.requests.get(next).due() <= now) {
            Plan.Request r = plan.requests.get(next++);
            open++;
            asked++;
            lateness.recordValue((long) Math.max(0, 1000 * (loop.now() - begun - r.due())));
            send(r, 0, scenario.kinds.get(r.profile()).expiry);
        }
        if (next < plan.requests.size()) {
            loop.schedule(
                    Math.max(0, plan.requests.get(next).due() - (loop.now() - begun)) + slowedBy,
                    this::sendDue);
        } else {
            endIfDone();
        }
    }

    private String id(Plan.Request r, int number) {
        return String.format(
                "%016x",
                new SplittableRandom(plan.seed * 7919 + r.number() * 64L + number).nextLong());
    }

    private void send(Plan.Request r, int number, double left) {
        double now = loop.now();
        Try t = new Try(r, number, id(r, number), now, now + left);
        Client kept = keepsOn();
        int scheduler = kept == null ? choose() : kept.scheduler;
        Client c = kept != null || scheduler < 0 ? kept : free.get(scheduler).poll();
        try {
            if (c == null && scheduler >= 0 && connections < scenario.load.connections) {
                c = new Client(loop, arrivals, scheduler, schedulers.get(scheduler), this);
                connections++;
            }
        } catch (IOException e) {
            c = null;
        }
        if (c == null) {
            waiting.add(t);
            loop.schedule(Math.max(1, left), () -> giveUpWaiting(t));
            return;
        }
        carry(c, t);
    }

    /** A connection that is open to a scheduler that leaves, or null where none is to be used. */
    private Client keepsOn() {
        if (scenario.load.keepsOn == 0 || chance.nextDouble() >= scenario.load.keepsOn) {
            return null;
        }
        for (int s = 0; s < leaving.length; s++) {
            Client open = leaving[s] ? free.get(s).poll() : null;
            if (open != null) {
                return open;
            }
        }
        return null;
    }

    private int choose() {
        int up = 0;
        for (boolean c : closed) {
            up += c ? 0 : 1;
        }
        if (up == 0) {
            return -1;
        }
        int pick = chance.nextInt(up);
        for (int s = 0; s < closed.length; s++) {
            if (!closed[s] && pick-- == 0) {
                return s;
            }
        }
        return -1;
    }

    private void giveUpWaiting(Try t) {
        if (waiting.remove(t)) {
            told(t, -1, "none", Double.NaN, "", false, loop.now());
            ended(t, false);
        }
    }

    private void carry(Client c, Try t) {
        c.carries = t;
        c.carried = t;
        double left = t.expiry - loop.now();
        c.ask(() -> requestInTime(t), left + LISTENS_ON);
        if (t.number == 0 && t.request.leaves()) {
            loop.schedule(
                    t.request.leavesAfter(),
                    () -> {
                        if (c.carries == t) {
                            t.left = true;
                            c.end();
                        }
                    });
        }
    }

    /** The request with the time that is left now, or null where none is. */
    private byte[] requestInTime(Try t) {
        double now = loop.now();
        double left = t.expiry - now;
        t.written = left > 0 ? now : Double.NaN;
        return left > 0 ? request(t, left) : null;
    }

    /** No scheduler was asked: the load itself was late. */
    @Override
    public void tooLate(Client c) {
        Try t = c.carries;
        c.carries = null;
        told(t, -1, "none", Double.NaN, "", false, loop.now());
        ended(t, false);
        loop.execute(() -> useAgain(c));
    }

    private void useAgain(Client c) {
        if (!c.isOpen()) {
            return;
        }
        if (!waiting.isEmpty() && !closed[c.scheduler]) {
            carry(c, waiting.poll());
        } else {
            free.get(c.scheduler).push(c);
        }
    }

    private byte[] request(Try t, double left) {
        Scenario.Kind kind = scenario.kinds.get(t.request.profile());
        boolean repeats = t.number > 0 && scenario.load.marksRetries;
        return RequestText.of(t.request, kind, t.id, left, repeats);
    }

    // ---- Answers ----

    @Override
    public void answered(Client c, Message answer, double at) {
        Try t = c.carries;
        c.carries = null;
        if (t == null) {
            return;
        }
        String advice = answer.field("retry-after");
        told(
                t,
                c.scheduler,
                Integer.toString(answer.status()),
                advice == null ? Double.NaN : number(advice),
                new String(answer.body(), StandardCharsets.UTF_8),
                c.requests > 1,
                at);
        if (answer.keepsAlive()) {
            useAgain(c);
        }
        boolean again =
                answer.status() == 503
                        || answer.status() == 429
                        || answer.status() >= 500 && harmless(t);
        double pause =
                advice != null && scenario.load.honoursAdvice
                        ? 1000 * number(advice)
                        : scenario.load.retryPause;
        retry(t, again, pause, answer.status() == 200);
        finished += answer.status() == 200 ? 1 : 0;
        bounced += answer.status() == 503 || answer.status() == 429 ? 1 : 0;
        failed +=
                answer.status() != 200 && answer.status() != 503 && answer.status() != 429 ? 1 : 0;
    }

    private static double number(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private boolean harmless(Try t) {
        return scenario.kinds.get(t.request.profile()).effect.equals("idempotent");
    }

    @Override
    public void broke(Client c, boolean written, boolean up, double at) {
        connections--;
        free.get(c.scheduler).remove(c);
        Try t = c.carries;
        c.carries = null;
        if (t == null) {
            return;
        }
        String how =
                t.left
                        ? "left"
                        : !up
                                ? "unreachable"
                                : at >= t.expiry + LISTENS_ON - 1
                                        ? "none"
                                        : written ? "broke" : "unwritten";
        told(t, c.scheduler, how, Double.NaN, "", c.requests > 1, at);
        failed++;
        retry(t, !t.left && (!up || harmless(t)), scenario.load.retryPause, false);
    }

    @Override
    public void extra(Client c) {
        Try t = c.carries != null ? c.carries : c.carried;
        record.write("extra\t%s\t%d\t%.3f", t == null ? "-" : t.id, c.scheduler, loop.now());
    }

    private void told(
            Try t,
            int scheduler,
            String status,
            double advice,
            String result,
            boolean reused,
            double at) {
        latency.recordValue((long) Math.max(0, 1000 * (at - begun - t.request.due())));
        record.write(
                "try\t%d\t%d\t%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%s\t%.3f\t%.3f\t%b\t%s\t%.3f",
                t.request.number(),
                t.number,
                t.id,
                t.request.profile(),
                t.request.tenant(),
                scheduler,
                begun + t.request.due(),
                t.sent,
                t.expiry,
                status,
                at,
                advice,
                reused,
                result.replaceAll("[\\t\\r\\n]", " ").strip(),
                t.written);
    }

    private void retry(Try t, boolean allowed, double pause, boolean done) {
        double left = t.expiry - loop.now() - pause;
        if (!done && allowed && t.number < scenario.load.retries && left > LEAST_LEFT) {
            loop.schedule(pause, () -> send(t.request, t.number + 1, t.expiry - loop.now()));
        } else {
            ended(t, done);
        }
    }

    private void ended(Try t, boolean done) {
        if (!t.over) {
            t.over = true;
            open--;
            endIfDone();
        }
    }

    private void endIfDone() {
        if (open == 0 && next >= plan.requests.size() && !over) {
            over = true;
            for (Deque<Client> d : free) {
                new ArrayList<>(d).forEach(Client::end);
            }
            whenDone.run();
        }
    }

    // ---- Figures ----

    /** How far it has come, in words. */
    public String progress() {
        return String.format(
                Locale.ROOT,
                "%4.0f s: %d asked, %d finished, %d bounced, %d failed, %d open, 99th %.0f ms",
                (loop.now() - begun) / 1000,
                asked,
                finished,
                bounced,
                failed,
                open,
                latency.getValueAtPercentile(99) / 1000.0);
    }

    /** How late requests went out, in microseconds. */
    public Histogram lateness() {
        return lateness;
    }

    /** Latency from when a request was due to each of its answers, in microseconds. */
    public Histogram latency() {
        return latency;
    }

    public int asked() {
        return asked;
    }

    /** Closes all connections, also where the play has failed; from any thread. */
    public void closeConnections() throws IOException {
        arrivals.close();
    }

    /** Writes the record to its end, and says where that is not whole. */
    public void close() throws IOException {
        arrivals.close();
        record.close();
    }
}
