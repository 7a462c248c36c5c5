package gingerspool.standin;

import gingerspool.scenario.Plan;
import gingerspool.scenario.Scenario;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Listener;
import gingerspool.wire.Message;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Future;

/**
 * A worker on sockets: its machine behind listeners, one for each scheduler, so that it knows who
 * asks.
 */
final class Worker implements Machine.Ear {
    private static final int REPORTS_KEPT = 256;

    /** A load report as it was. */
    private record Snapshot(
            double at, double running, double waiting, double util, double slots, double memory) {}

    final String name;
    final String zone;
    final int number;
    private final EventLoop loop;
    private final Scenario scenario;
    private final Machine.Spec spec;
    private final ExecutionLog log;
    private final SplittableRandom chance;

    /** Operators ban it at times: when requests came matters, not only when they were read. */
    private final boolean notesArrivals;

    private final List<InetSocketAddress> schedulers;
    private final int[] ports;
    private final List<Listener> listeners = new ArrayList<>();
    private final List<CallBacks> callBacks = new ArrayList<>();
    private final Set<Link> links = new HashSet<>();
    private final Map<String, Integer> askedBy = new HashMap<>();
    private final Deque<Snapshot> reports = new ArrayDeque<>();
    private Machine machine;
    private Future<?> alarm;
    private boolean up;
    private boolean cut;
    private int runs;
    double born;

    // What is wrong with it just now.
    /** The profile that fails at once, "*" for all, or null. */
    String failsFast;

    boolean diesOnTaking;
    Runnable whenDied = () -> {};
    double reportsLate;
    boolean reportsAbsurd;
    double callBacksLost;
    int callBacksRepeated = 1;
    double callBacksLate;
    int resetAfter = -1;
    int cutAfter = -1;
    double faultShare = 1;

    Worker(
            EventLoop loop,
            Plan plan,
            int number,
            List<InetSocketAddress> schedulers,
            ExecutionLog log) {
        this.loop = loop;
        this.number = number;
        this.schedulers = schedulers;
        this.log = log;
        scenario = plan.scenario;
        name = Plan.name(number);
        zone = plan.zones[number];
        chance = new SplittableRandom(plan.seed * 1_000_003 + number);
        ports = new int[schedulers.size()];
        notesArrivals = plan.suspends(number);
        Scenario.Fleet f = scenario.fleet;
        spec =
                new Machine.Spec(
                        f.slots,
                        f.cores,
                        f.memory,
                        f.queue,
                        switch (f.order) {
                            case "priority" -> Machine.Order.PRIORITY;
                            case "backfill" -> Machine.Order.BACKFILL;
                            default -> Machine.Order.FIRST_COME;
                        },
                        plan.speeds[number],
                        f.coldFrom,
                        f.warmWithin);
    }

    // ---- Its life ----

    /** Starts; warm if it began long ago. Its ports stay the same from then on. */
    void start(boolean warm) throws IOException {
        double now = loop.now();
        born = warm ? 0 : now;
        machine = new Machine(spec, warm ? now - 10 * spec.warmWithin() - 1 : now, this);
        machine.advance(now);
        try {
            for (int s = 0; s < schedulers.size(); s++) {
                int from = s;
                Listener l =
                        Acceptor.at(
                                loop,
                                ports[s],
                                () -> links.size() < scenario.fleet.connections,
                                channel -> accept(channel, from));
                listeners.add(l);
                ports[s] = ((InetSocketAddress) l.address()).getPort();
                callBacks.add(new CallBacks(loop, schedulers.get(s)));
            }
        } catch (IOException e) {
            listeners.forEach(Listener::close);
            listeners.clear();
            callBacks.clear();
            throw e;
        }
        up = true;
        listeners.forEach(Listener::acceptOn);
        log.write(
                now,
                name,
                "up",
                "-",
                -1,
                String.format(
                        Locale.ROOT,
                        "slots=%d speed=%.6f from=%.3f warm=%.0f",
                        spec.slots(),
                        spec.speed(),
                        warm ? 1 : spec.coldFrom(),
                        warm ? 0 : spec.warmWithin()));
    }

    /** Slots, which is what the list tells as its size. */
    int size() {
        return spec.slots();
    }

    int port(int scheduler) {
        return ports[scheduler];
    }

    boolean isUp() {
        return up;
    }

    /** Dies at once: connections are reset, new ones refused, what it had is lost. */
    void kill() {
        if (!up) {
            return;
        }
        advance();
        up = false;
        double now = loop.now();
        for (Job j : machine.jobs()) {
            log.write(now, name, "lost", j.id, askedBy.getOrDefault(j.id, -1), started(j));
        }
        log.write(now, name, "down", "-", -1, "");
        listeners.forEach(Listener::close);
        listeners.clear();
        callBacks.forEach(CallBacks::shut);
        callBacks.clear();
        for (Link l : new ArrayList<>(links)) {
            l.close();
        }
        askedBy.clear();
        reports.clear();
        if (alarm != null) {
            alarm.cancel(false);
        }
    }

    private static String started(Job j) {
        return Double.isNaN(j.startedAt) ? "waiting" : "running";
    }

    /** Stops taking; what waits is handed back. */
    void drain() {
        if (up) {
            advance();
            machine.drain();
            plan();
        }
    }

    boolean isIdle() {
        return !up || machine.jobs().isEmpty();
    }

    /** Cut off from everybody, or back: then what was open is reset. */
    void cut(boolean is) {
        cut = is;
        log.write(loop.now(), name, is ? "cut" : "back", "-", -1, "");
        callBacks.forEach(c -> c.silence(is));
        for (Link l : new ArrayList<>(links)) {
            if (is) {
                l.silence();
            } else {
                l.close();
            }
        }
    }

    /**
     * Something befalls its machine at the time that the record gives: nothing that it stops ends
     * later.
     */
    void befall(double at, java.util.function.Consumer<Machine> what) {
        if (up) {
            machine.advance(at);
            what.accept(machine);
            plan();
        }
    }

    // ---- Time ----

    private void advance() {
        machine.advance(loop.now());
    }

    private void plan() {
        if (alarm != null) {
            alarm.cancel(false);
            alarm = null;
        }
        double next = machine.next();
        if (up && next < Double.POSITIVE_INFINITY) {
            alarm =
                    loop.schedule(
                            Math.max(0, next - loop.now()),
                            () -> {
                                if (up) {
                                    advance();
                                    plan();
                                }
                            });
        }
    }

    // ---- Connections ----

    private void accept(AsynchronousSocketChannel channel, int scheduler) {
        Link link =
                new Link(
                        loop,
                        channel,
                        new Link.Server() {
                            @Override
                            public void asked(Link l, Message request, double firstByteAt) {
                                double wait = l.requests == 1 ? scenario.fleet.handshake : 0;
                                if (wait > 0) {
                                    loop.schedule(
                                            wait, () -> serve(l, request, firstByteAt, scheduler));
                                } else {
                                    serve(l, request, firstByteAt, scheduler);
                                }
                            }

                            @Override
                            public int resetAfter() {
                                return resetAfter >= 0 && chance.nextDouble() < faultShare
                                        ? resetAfter
                                        : -1;
                            }

                            @Override
                            public void reset() {
                                log.write(
                                        loop.now(),
                                        name,
                                        "reset",
                                        "-",
                                        scheduler,
                                        "after " + resetAfter + " bytes");
                            }

                            @Override
                            public void closed(Link l) {
                                links.remove(l);
                                listeners.forEach(Listener::acceptOn);
                            }
                        });
        links.add(link);
        if (cut) {
            link.silence();
        }
        link.closeIdle(scenario.fleet.idleClose);
        link.start();
    }

    private void serve(Link link, Message request, double firstByteAt, int scheduler) {
        if (!up || !link.isOpen() || link.isSilent()) {
            return;
        }
        advance();
        String target = request.target();
        if (request.method().equals("DELETE") && target.startsWith("/jobs/")) {
            String id = target.substring(6);
            Boolean was = scenario.fleet.cancels ? machine.drop(id) : null;
            log.write(
                    loop.now(),
                    name,
                    "dropped",
                    id,
                    scheduler,
                    was == null ? "unknown" : was ? "running" : "waiting");
            answer(link, id, Link.message(was == null ? 404 : 200, "", ""));
        } else if (request.method().equals("GET") && target.equals("/load")) {
            answer(
                    link,
                    "-",
                    scenario.fleet.reports.equals("probe")
                            ? Link.message(200, "", "TEXT " + report(", ", ""))
                            : Link.message(404, "", ""));
        } else {
            task(link, request, firstByteAt, scheduler);
        }
        plan();
    }

    private void task(Link link, Message request, double firstByteAt, int scheduler) {
        double now = loop.now();
        String id = request.field("x-correlation-id");
        String body = new String(request.body(), StandardCharsets.UTF_8);
        Scenario.Kind kind = scenario.kinds.get(request.field("x-service-class"));
        double work = number(body, "work=");
        if (id == null || kind == null || Double.isNaN(work)) {
            log.write(now, name, "unknown", String.valueOf(id), scheduler, "");
            answer(link, id, Link.message(400, "", ""));
            return;
        }
        String detail = String.format(Locale.ROOT, "first=%.3f work=%.3f", firstByteAt, work);
        double cameAt = notesArrivals ? link.lastBytesAt() : Double.NaN;
        if (!Double.isNaN(cameAt)) {
            detail += String.format(Locale.ROOT, " came=%.3f", cameAt);
        }
        if (failsFast != null && (failsFast.equals("*") || failsFast.equals(kind.name))) {
            log.write(now, name, "failed", id, scheduler, detail);
            answer(link, id, Link.message(500, "", ""));
            return;
        }
        String hint = request.field("x-weight-hint");
        Job job =
                new Job(
                        id,
                        kind.name,
                        kind.width,
                        kind.memory,
                        kind.priority,
                        hint == null ? 0 : number(hint, "") / 1000,
                        work);
        job.fails = scenario.fleet.fails > 0 && chance.nextDouble() < scenario.fleet.fails;
        if (machine.has(id)) {
            log.write(now, name, "twice", id, scheduler, detail);
            answer(link, id, Link.message(400, "", ""));
            return;
        }
        askedBy.put(id, scheduler);
        log.write(now, name, "asked", id, scheduler, detail);
        if (diesOnTaking) {
            log.write(now, name, "taken", id, scheduler, detail);
            link.answer(Link.message(202, "", ""));
            diesOnTaking = false;
            log.write(now, name, "lost", id, scheduler, "waiting");
            loop.schedule(
                    2,
                    () -> {
                        kill();
                        whenDied.run();
                    });
            return;
        }
        if (!machine.offer(job)) {
            log.write(now, name, "refused", id, scheduler, "");
            answer(link, id, Link.message(503, "X-Unprocessed: 1\r\n" + header(), ""));
            return;
        }
        log.write(now, name, "taken", id, scheduler, "");
        answer(link, id, Link.message(202, "", ""));
    }

    /** The number that follows this word, or NaN. */
    private static double number(String text, String word) {
        int at = text.indexOf(word);
        if (at < 0) {
            return Double.NaN;
        }
        int end = at + word.length();
        while (end < text.length() && "0123456789.eE+-".indexOf(text.charAt(end)) >= 0) {
            end++;
        }
        try {
            return Double.parseDouble(text.substring(at + word.length(), end));
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private void answer(Link link, String id, byte[] whole) {
        if (cutAfter >= 0 && chance.nextDouble() < faultShare) {
            link.cutAnswerAfter(cutAfter);
            log.write(loop.now(), name, "broke", id, -1, "answer cut after " + cutAfter);
        }
        link.closeIdle(scenario.fleet.idleClose);
        link.answer(whole);
    }

    // ---- What its machine tells ----

    @Override
    public void started(Job job, double at) {
        runs++;
        log.write(
                at, name, "started", job.id, askedBy.getOrDefault(job.id, -1), "work=" + job.work);
        if (scenario.fleet.tellsStart) {
            tell(job, "started", "", "");
        }
    }

    @Override
    public void ended(Job job, double at) {
        String result = job.id + " by " + name + " run " + runs;
        log.write(
                at,
                name,
                job.fails ? "failed" : "ended",
                job.id,
                askedBy.getOrDefault(job.id, -1),
                job.fails ? "" : result);
        tell(
                job,
                job.fails ? "failed" : "done",
                job.fails ? "" : ",\"result\":\"" + result + "\"",
                load());
        askedBy.remove(job.id);
    }

    @Override
    public void handedBack(Job job, double at) {
        log.write(at, name, "returned", job.id, askedBy.getOrDefault(job.id, -1), "");
        tell(job, "returned", "", load());
        askedBy.remove(job.id);
    }

    private void tell(Job job, String state, String more, String load) {
        Integer scheduler = askedBy.get(job.id);
        if (scheduler == null) {
            return;
        }
        if (callBacksLost > 0 && chance.nextDouble() < callBacksLost) {
            log.write(loop.now(), name, "untold", job.id, scheduler, state);
            return;
        }
        String json =
                "{\"id\":\""
                        + job.id
                        + "\",\"from\":\""
                        + name
                        + "\",\"state\":\""
                        + state
                        + "\""
                        + more
                        + load
                        + "}";
        if (callBacksRepeated > 1 || callBacksLate > 0) {
            log.write(
                    loop.now(),
                    name,
                    "told-oddly",
                    job.id,
                    scheduler,
                    String.format(
                            Locale.ROOT,
                            "%s %d times, %.0f ms late",
                            state,
                            callBacksRepeated,
                            callBacksLate));
        }
        for (int i = 0; i < callBacksRepeated; i++) {
            callBacks.get(scheduler).say(json, callBacksLate + 3.0 * i);
        }
    }

    // ---- Reports ----

    private String load() {
        return scenario.fleet.reports.equals("answers")
                ? ",\"load\":{" + report(",", "\"") + "}"
                : "";
    }

    private String header() {
        return scenario.fleet.reports.equals("answers")
                ? "X-Backend-Load: TEXT " + report(", ", "") + "\r\n"
                : "";
    }

    private String report(String comma, String quote) {
        double now = loop.now();
        reports.addLast(
                new Snapshot(
                        now,
                        machine.runs(),
                        machine.waits(),
                        machine.utilisation(),
                        machine.freeSlots(),
                        machine.freeMemory()));
        while (reports.size() > REPORTS_KEPT) {
            reports.removeFirst();
        }
        double age = scenario.fleet.reportAge + reportsLate;
        Snapshot told = reports.peekFirst();
        for (Snapshot s : reports) {
            told = s.at <= now - age ? s : told;
        }
        String equals = quote.isEmpty() ? "=" : quote + ":";
        if (reportsAbsurd) {
            String[] absurd = {"-5", "1e300", "0", "99999999"};
            return quote
                    + "queue"
                    + equals
                    + absurd[chance.nextInt(4)]
                    + comma
                    + quote
                    + "util"
                    + equals
                    + absurd[chance.nextInt(4)]
                    + comma
                    + quote
                    + "x0"
                    + equals
                    + absurd[chance.nextInt(4)];
        }
        double noise = Math.max(0, 1 + scenario.fleet.reportNoise * (2 * chance.nextDouble() - 1));
        return String.format(
                Locale.ROOT,
                "%sinflight%s%.2f%s%squeue%s%.2f%s%sutil%s%.4f%s%sx0%s%.2f",
                quote,
                equals,
                told.running * noise,
                comma,
                quote,
                equals,
                told.waiting * noise,
                comma,
                quote,
                equals,
                told.util,
                comma,
                quote,
                equals,
                told.slots);
    }
}
