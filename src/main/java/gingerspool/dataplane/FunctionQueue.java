package gingerspool.dataplane;

import gingerspool.codec.Messages;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.DispatchActions;
import gingerspool.dispatch.Dispatcher;
import gingerspool.dispatch.DispatcherSettings;
import gingerspool.dispatch.Outcome;
import gingerspool.dispatch.Profile;
import gingerspool.dispatch.Report;
import gingerspool.dispatch.RetryBudget;
import gingerspool.dispatch.Task;
import gingerspool.dispatch.Terms;
import gingerspool.store.ConnectionPool;
import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Message;
import gingerspool.wire.RequestSafeguard;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * One function at one scheduler: the requests that wait for a slot, the slots that the leader gave,
 * and the Dispatcher, which picks the instance as soon as a slot is there and decides on further
 * assignments.
 */
final class FunctionQueue implements DispatchActions, Attempt.Owner {
    /**
     * Spans in parts of a heartbeat interval: how long a slot is kept idle, and how often desks are
     * looked over.
     */
    private static final double IDLE_KEEP = 0.25;

    /** An instance where nothing was held for so many beats is forgotten. */
    private static final double FORGOTTEN = 50;

    /**
     * Gaps between requests: the longest that counts, in parts of that, and how many are
     * remembered.
     */
    private static final double GAP_MOST = 8;

    private static final int GAPS = 8;
    private static final double LOOK = 0.02;

    /**
     * Parts of a start's time: the first knock at an instance, the pause between two, and the last
     * one.
     */
    private static final double CONNECT_FIRST = 0.5;

    private static final double CONNECT_PAUSE = 0.03;
    private static final double CONNECT_MOST = 8;

    /** A request may be turned away for the sake of a better try within this part of its aim, */
    private static final double EARLY = 0.25;

    /** to come back within this part of the time that it has. */
    private static final double RETURN = 1.0 / 3;

    /** Without word of a slot a request waits for so many starts' time at the most. */
    private static final double HOLD = 2;

    /** What was given up may run on for so many running times. */
    private static final double DOUBT = 3;

    /** So many assignments of a request that reached no instance don't count as attempts. */
    private static final int UNREACHED_MOST = 3;

    /** Assignments of a request in all, those that reached no instance included. */
    private static final int ASSIGNMENTS_MOST = 8;

    private static final double CROSS_FEE = 0.05;
    private static final int SAMPLES = 16;

    /** A running time to begin with, in parts of the aim. */
    private static final double RUN = 0.2;

    /** A second copy goes out after this part of the aim. */
    private static final double COPY_AFTER = 0.5;

    private static final Terms CAREFUL =
            new Terms(4, 0, 0, 0, 0, 1, 0, null, EnumSet.of(Outcome.UNREACHABLE, Outcome.MOOT));

    /** What a desk needs of the program round it. */
    interface Environment {
        EventLoop loop();

        ConnectionPool pool();

        gingerspool.settings.NodeSettings settings();

        /** Schedulers that share the budget of repeats, this one included. */
        int schedulers();

        /** Tells the leader, or returns false where there is none. */
        boolean say(Object word);

        /** How long there has been no leader. */
        double leaderless();

        int takePoolIndex();

        void leavePoolIndex(int poolIndex);

        /** Answers the client for good. */
        void answer(PendingRequest v, int status, List<String> fields, byte[] body);
    }

    private final Environment environment;
    private final EventLoop loop;
    private final String name;
    private Service service;
    private Dispatcher dispatcher;
    private List<Profile> profiles = List.of();
    private final FunctionRetryBudget retryBudget;
    private final UnassignedSlots unassigned;
    private double copyAfter;
    private final Map<Integer, Terms> safeTerms = new HashMap<>();
    private boolean stale;
    private final Map<String, InstanceSlot> instances = new LinkedHashMap<>();
    private final List<InstanceSlot> byWorker = new ArrayList<>();
    private final ArrayDeque<Integer> freeWorkers = new ArrayDeque<>();
    private final PriorityQueue<PendingRequest> queue =
            new PriorityQueue<>(
                    Comparator.comparingInt((PendingRequest v) -> v.route.getPriority())
                            .thenComparingDouble(v -> v.urgentAt));
    private int inHand;
    private int underWay;
    private long granted;
    private int recalled;
    private int toldLacks;
    private int toldInHand;

    /** Requests that have come, since the leader took this scheduler on. */
    private long came;

    private long toldCame;

    /** The mean gap between requests lately, and when the last one came. */
    private double gap;

    private int gaps;
    private double cameAt = Double.NEGATIVE_INFINITY;

    /** Mean running time seen, 0 if none. */
    private double run;

    private boolean looking;
    int refusals;
    int givenUp;

    FunctionQueue(Environment environment, String name) {
        this.environment = environment;
        this.name = name;
        loop = environment.loop();
        unassigned =
                new UnassignedSlots(
                        environment.settings().rejectionAllowance,
                        (environment.settings().name + name).hashCode());
        retryBudget = new FunctionRetryBudget(environment.settings(), environment.schedulers());
    }

    /** The configuration as it now stands; the routes are those that lead here. */
    void configured(Service s, List<Route> routes) {
        service = s;
        List<Profile> wanted = profilesOf(routes);
        if (!wanted.toString().equals(profiles.toString())) {
            profiles = wanted;
            stale = true;
        }
        renew();
    }

    /** Guards tasks in hand: their Dispatcher is replaced only when it holds none. */
    private void renew() {
        if (!stale && dispatcher != null || inHand > 0 && dispatcher != null) {
            return;
        }
        stale = false;
        DispatcherSettings s = new DispatcherSettings();
        s.profiles = profiles.toArray(new Profile[0]);
        for (int i = 0; i < s.profiles.length; i++) {
            s.profiles[i].index = i;
        }
        s.zone = environment.settings().zoneNumber(environment.settings().zone);
        s.place = environment.settings().zone;
        s.dispatchers = Math.max(1, environment.schedulers());
        s.kinds = new String[] {"instance"};
        s.reportNames = new String[] {"free"};
        s.reportsInAnswers = true;
        s.mayCancel = true;
        s.mayAdvise = true;
        s.maxAdvice = service.getBoot();
        s.mostAssignments = ASSIGNMENTS_MOST;
        s.crossFee = CROSS_FEE;
        long seed = (environment.settings().name + " " + name).hashCode();
        dispatcher = new Dispatcher(s, seed, this);
        copyAfter = COPY_AFTER * profiles.stream().mapToDouble(q -> q.dueTime).min().orElse(1000);
        safeTerms.clear();
        instances.values().forEach(this::list);
    }

    /**
     * What may be repeated goes to as many instances as its route allows; else only if none was
     * reached. By the route, not the profile: another may stand in for that until the Dispatcher is
     * renewed.
     */
    private Terms terms(PendingRequest v) {
        retryBudget.share(environment.schedulers());
        return !v.safe() && loop.has(RequestSafeguard.UNSAFE_ONCE)
                ? CAREFUL
                : safeTerms.computeIfAbsent(
                        mostAttempts(v),
                        n -> new Terms(n, 0, 0, 0, 0, Math.min(2, n), copyAfter, budget(), null));
    }

    private RetryBudget budget() {
        return loop.has(RequestSafeguard.RETRY_BUDGET) ? retryBudget : null;
    }

    private int mostAttempts(PendingRequest v) {
        int most =
                loop.has(RequestSafeguard.MOST_ATTEMPTS) ? v.route.getAttempts() : ASSIGNMENTS_MOST;
        return Math.max(1, most) + v.unreached;
    }

    /** For each sort of its routes one profile in time and one for those past their aim. */
    private List<Profile> profilesOf(List<Route> routes) {
        Map<String, Profile> all = new LinkedHashMap<>();
        for (Route r : routes) {
            for (boolean late : new boolean[] {false, true}) {
                Profile p = new Profile();
                p.name = key(r, late);
                p.expiry = r.hasTimeout() ? r.getTimeout() : 60_000;
                p.dueTime = late ? p.expiry : Math.max(1, r.getAim());
                p.stretch = 0;
                p.work = RUN * Math.max(1, r.getAim());
                p.prio = -r.getPriority();
                p.effect =
                        r.getKind().equals("safe") || !loop.has(RequestSafeguard.UNSAFE_ONCE)
                                ? Profile.Effect.IDEMPOTENT
                                : Profile.Effect.SIDE_EFFECTING;
                all.putIfAbsent(p.name, p);
            }
        }
        return List.copyOf(all.values());
    }

    private static String key(Route r, boolean late) {
        return r.getKind()
                + " "
                + r.getAim()
                + " "
                + r.getTimeout()
                + " "
                + r.getPriority()
                + (late ? " late" : "");
    }

    /**
     * The profile of this sort; until the Dispatcher is renewed the most careful one stands in for
     * a new sort.
     */
    private Profile profile(Route r, boolean late) {
        String key = key(r, late);
        Profile careful = null;
        for (Profile p : profiles) {
            if (p.name.equals(key)) {
                return p;
            }
            careful = careful == null || p.effect == Profile.Effect.SIDE_EFFECTING ? p : careful;
        }
        return careful;
    }

    // ---- Requests ----

    void take(PendingRequest v) {
        if (inHand == 0) {
            renew();
        }
        gap +=
                (Math.min(loop.now() - cameAt, GAP_MOST * idleKeep()) - gap)
                        / Math.min(++gaps, GAPS);
        cameAt = loop.now();
        inHand++;
        came++;
        unassigned.arrived(loop.now());
        queue.add(v);
        serve();
    }

    /** The client has gone, or its time is over. */
    void leave(PendingRequest v) {
        if (v.placed) {
            dispatcher.left(loop.now(), v);
            takeBack(v);
        } else {
            queue.remove(v);
        }
        inHand--;
        serve();
    }

    /** What was not sent yet never will be: so it is sure not to have run there. */
    private static void takeBack(PendingRequest v) {
        for (Attempt attempt : List.copyOf(v.attempts)) {
            if (!attempt.hasBegun()) {
                attempt.giveUp(Outcome.CANCELLED);
            }
        }
    }

    /** Hands the Dispatcher those for whom a slot is there. */
    private void serve() {
        while (!queue.isEmpty() && free() > 0) {
            PendingRequest v = queue.poll();
            v.placed = true;
            double now = loop.now();
            v.profile = profile(v.route, now + run > v.dueAt);
            v.terms = terms(v);
            dispatcher.arrived(now, v);
        }
        tellWants();
        lookOn();
    }

    private int free() {
        int n = 0;
        for (InstanceSlot s : instances.values()) {
            n += s.free();
        }
        return n - Math.min(n, waitingAtDispatcher());
    }

    /** Requests that the Dispatcher has without any assignment out: they come first. */
    private int waitingAtDispatcher() {
        return Math.max(0, inHand - queue.size() - underWay);
    }

    private void tellWants() {
        int lacks = Math.max(0, queue.size() + waitingAtDispatcher() - slotsFree());
        if (lacks != toldLacks) {
            tellWant(lacks);
        }
    }

    private int slotsFree() {
        int n = 0;
        for (InstanceSlot s : instances.values()) {
            n += s.free();
        }
        return n;
    }

    private void tellWant(int lacks) {
        if (environment.say(new Messages.SlotDemand(name, lacks, granted, inHand, came, run))) {
            toldLacks = lacks;
            toldInHand = inHand;
            toldCame = came;
        }
    }

    // ---- Looking over what waits and what idles ----

    private void lookOn() {
        if (!looking) {
            looking = true;
            loop.schedule(
                    LOOK * environment.settings().heartbeatInterval,
                    () -> {
                        looking = false;
                        look();
                    });
        }
    }

    private void look() {
        double now = loop.now();
        for (PendingRequest v : List.copyOf(queue)) {
            patience(v, now);
        }
        useUnassigned();
        giveBack(now);
        int lacks = Math.max(0, queue.size() + waitingAtDispatcher() - slotsFree());
        if (lacks != toldLacks || inHand != toldInHand || came != toldCame) {
            tellWant(lacks);
        }
        if (inHand > 0 || toldInHand > 0 || instances.values().stream().anyMatch(s -> s.held > 0)) {
            lookOn();
        }
    }

    /** Whether a request that waits is better told to come back, or that there is no hope. */
    private void patience(PendingRequest v, double now) {
        boolean turning = instances.values().stream().anyMatch(s -> s.up && s.held > 0);
        double wait = Double.NaN;
        for (InstanceSlot s : instances.values()) {
            if (!s.up && s.held > 0) {
                double w =
                        Math.max(LOOK * environment.settings().heartbeatInterval, s.startsAt - now);
                wait = Double.isNaN(wait) ? w : Math.min(wait, w);
            }
        }
        double left = v.expiry - now;
        boolean tooLate = now + wait + run > v.dueAt;
        if (!turning
                && tooLate
                && v.first
                && wait <= RETURN * left
                && now - v.cameAt <= EARLY * (v.dueAt - v.cameAt)) {
            refuse(v, wait);
        } else if (!turning
                && (wait + run > left
                        || now - v.cameAt
                                > Math.max(v.dueAt - v.cameAt, HOLD * service.getBoot()))) {
            refuse(v, service.getBoot());
        }
    }

    private void refuse(PendingRequest v, double pause) {
        queue.remove(v);
        inHand--;
        givenUp++;
        environment.answer(v, 503, retryAfter(pause), InstanceResponse.text("no instance in time"));
    }

    private static List<String> retryAfter(double pause) {
        return List.of("Retry-After: " + Math.max(1, Math.round(pause)) / 1000.0);
    }

    /**
     * Guards against a leader that is gone or stands still: without one, one slot is used as if it
     * were ours.
     */
    private void useUnassigned() {
        if (environment.leaderless() == 0) {
            unassigned.led();
        }
        if (queue.isEmpty()
                || environment.leaderless() < environment.settings().heartbeatInterval / 2
                || !unassigned.allows(loop.now(), environment.schedulers())
                || instances.values().stream().anyMatch(s -> s.up && !s.leaving && s.held > 0)) {
            return;
        }
        for (InstanceSlot s : instances.values()) {
            if (s.up && !s.leaving && s.doubtful == 0) {
                s.held = 1;
                s.unassigned = true;
                s.idleSince = loop.now();
                told(s);
                serve();
                return;
            }
        }
    }

    private void giveBack(double now) {
        for (InstanceSlot s : List.copyOf(instances.values())) {
            int n = s.idle();
            boolean starting = !s.up && (inHand > underWay);
            // A slot is kept idle only where the next request is likely to come meanwhile, or one
            // is held.
            boolean near = gap < idleKeep() || waitingAtDispatcher() > 0;
            boolean isKept = now < s.idleSince + idleKeep() && near && !s.leaving;
            if (n > 0 && !starting && (!isKept || recalled > 0)) {
                int some = isKept ? Math.min(n, recalled) : n;
                back(s, some, Messages.InstanceCondition.HEALTHY);
            } else if (s.held == 0
                    && s.used == 0
                    && s.doubtful == 0
                    && !s.connecting
                    && (s.leaving
                            || now
                                    > s.idleSince
                                            + FORGOTTEN
                                                    * environment.settings().heartbeatInterval)) {
                // Guards against instances that pile up: what is gone may never be told of again.
                remove(s);
            }
        }
    }

    private double idleKeep() {
        return IDLE_KEEP * environment.settings().heartbeatInterval;
    }

    private void back(InstanceSlot s, int slots, Messages.InstanceCondition seen) {
        if (environment.say(new Messages.SlotReturn(s.instance, slots, seen))) {
            s.held -= slots;
            recalled = Math.max(0, recalled - slots);
            told(s);
        }
    }

    private void remove(InstanceSlot s) {
        instances.remove(s.instance);
        byWorker.set(s.worker, null);
        freeWorkers.add(s.worker);
        environment.leavePoolIndex(s.poolIndex);
    }

    // ---- What the leader says ----

    void granted(Messages.SlotGrant g) {
        double now = loop.now();
        InstanceSlot s = instances.get(g.instance());
        if (s == null) {
            s = slot(g);
            if (s == null) {
                environment.say(
                        new Messages.SlotReturn(
                                g.instance(), g.slots(), Messages.InstanceCondition.UNREACHABLE));
                return;
            }
        }
        s.held += g.slots();
        s.unassigned = false;
        s.idleSince = now;
        if (g.startsIn() > 0) {
            s.startsAt = now + g.startsIn();
            connectLater(s, CONNECT_FIRST * g.startsIn());
        } else {
            granted += g.slots();
            toldLacks = Math.max(0, toldLacks - g.slots());
            up(s);
        }
        told(s);
        if (s.up) {
            double[] report = new double[Report.SIZE];
            Arrays.fill(report, Double.NaN);
            // Slots that others hold are taken, ours are free but for those in use.
            int others = Math.max(0, g.grantedSlots() - s.held);
            report[Report.FREE_SLOTS] = Math.max(0, s.capacity - others - s.used);
            dispatcher.probed(now, s.worker, report);
        }
        serve();
    }

    private InstanceSlot slot(Messages.SlotGrant g) {
        try {
            Integer worker = freeWorkers.poll();
            if (worker == null) {
                worker = byWorker.size();
                byWorker.add(null);
            }
            InstanceSlot s =
                    new InstanceSlot(
                            g.instance(),
                            this,
                            Address.read(g.address()),
                            g.zone(),
                            g.capacity(),
                            environment.takePoolIndex(),
                            worker);
            instances.put(s.instance, s);
            byWorker.set(worker, s);
            dispatcher.called(worker, s.instance);
            list(s);
            return s;
        } catch (BadMessage e) {
            return null;
        }
    }

    /** Tells the Dispatcher what it may use. */
    private void told(InstanceSlot s) {
        dispatcher.granted(
                loop.now(), s.worker, s.up && !s.leaving ? Math.max(0, s.held - s.doubtful) : 0);
    }

    private void list(InstanceSlot s) {
        double now = loop.now();
        dispatcher.listBegins(now, false);
        dispatcher.called(s.worker, s.instance);
        dispatcher.listed(
                s.worker,
                environment.settings().zoneNumber(s.zone),
                0,
                0,
                s.leaving ? Dispatcher.DRAINING : Dispatcher.RUNNING,
                s.capacity,
                0);
        dispatcher.listEnds(now, false, true);
        told(s);
    }

    private void up(InstanceSlot s) {
        if (!s.up) {
            s.up = true;
            s.idleSince = loop.now();
            told(s);
        }
    }

    private void connectLater(InstanceSlot s, double span) {
        if (!s.connecting && !s.up) {
            s.connecting = true;
            loop.schedule(
                    span,
                    () -> {
                        s.connecting = false;
                        connect(s);
                    });
        }
    }

    private void connect(InstanceSlot s) {
        if (s.up || s.leaving || s.held == 0) {
            return;
        }
        if (loop.now() > s.startsAt + CONNECT_MOST * service.getBoot()) {
            back(s, s.held, Messages.InstanceCondition.UNREACHABLE);
            return;
        }
        try {
            s.connecting = true;
            environment
                    .pool()
                    .knock(
                            s.poolIndex,
                            s.address,
                            cameUp -> {
                                s.connecting = false;
                                if (cameUp) {
                                    up(s);
                                    environment.say(
                                            new Messages.SlotReturn(
                                                    s.instance,
                                                    0,
                                                    Messages.InstanceCondition.STARTED));
                                    serve();
                                } else {
                                    connectLater(s, CONNECT_PAUSE * service.getBoot());
                                }
                            });
        } catch (IOException e) {
            s.connecting = false;
            connectLater(s, CONNECT_PAUSE * service.getBoot());
        }
    }

    void recalled(int slots) {
        recalled += slots;
        giveBack(loop.now());
    }

    /** Nothing new may go there. */
    boolean withdraw(String instance) {
        InstanceSlot s = instances.get(instance);
        if (s == null) {
            return false;
        }
        s.leaving = true;
        environment.pool().keep(s.poolIndex, false);
        list(s);
        giveBack(loop.now());
        return true;
    }

    /** A new leader took this scheduler on: what it gave is counted anew. */
    void registered() {
        granted = 0;
        came = 0;
        toldCame = 0;
        recalled = 0;
        toldLacks = 0;
        toldInHand = -1;
        tellWants();
        lookOn();
    }

    void held(Map<String, Integer> all) {
        instances
                .values()
                .forEach(
                        s -> {
                            if (s.held > 0) {
                                all.put(s.instance, s.held);
                            }
                        });
    }

    // ---- The Dispatcher's outlet ----

    @Override
    public void send(Assignment a, double timeout) {
        InstanceSlot s = byWorker.get(a.worker);
        PendingRequest v = (PendingRequest) a.task;
        Attempt attempt = new Attempt(a, s, loop, this);
        v.attempts.add(attempt);
        s.used++;
        underWay += v.outstanding() == 1 ? 1 : 0;
        try {
            attempt.begin(
                    environment.pool().take(s.poolIndex, s.address),
                    InstanceResponse.request(v.request, named(s), v.expiry - loop.now()),
                    null);
        } catch (IOException e) {
            loop.execute(attempt::fail);
        }
    }

    private String named(InstanceSlot s) {
        return loop.has(RequestSafeguard.EXPECTED_INSTANCE) ? s.instance : null;
    }

    @Override
    public void bounce(Task task, double pause) {
        giveUp((PendingRequest) task, pause);
    }

    @Override
    public void abandon(Task task) {
        giveUp((PendingRequest) task, 0);
    }

    /** The Dispatcher has given the task up: what may be promised depends on what has run. */
    private void giveUp(PendingRequest v, double pause) {
        inHand--;
        givenUp++;
        if (!v.mayHaveRun()) {
            environment.answer(
                    v,
                    503,
                    retryAfter(pause > 0 ? pause : service.getBoot()),
                    InstanceResponse.text("no instance in time"));
        } else if (InstanceResponse.mayPass(v.failure, v.id, loop::has)) {
            environment.answer(
                    v, v.failure.status(), InstanceResponse.fields(v.failure), v.failure.body());
        } else {
            environment.answer(v, 502, List.of(), InstanceResponse.text("no whole answer came"));
        }
    }

    @Override
    public void cancel(Assignment a) {
        // Not at once: the Dispatcher is in the middle of its rules.
        loop.execute(
                () -> ((PendingRequest) a.task).attempts.get(a.number).giveUp(Outcome.CANCELLED));
    }

    @Override
    public void probe(int worker) {
        throw new IllegalStateException("instances aren't asked for reports");
    }

    @Override
    public void watchList() {
        throw new IllegalStateException("the list comes by itself");
    }

    @Override
    public void wakeAfter(double span) {
        Dispatcher whose = dispatcher;
        loop.schedule(
                span,
                () -> {
                    if (whose == dispatcher) {
                        whose.wake(loop.now());
                    }
                });
    }

    // ---- Ends of assignments ----

    @Override
    public void ended(Attempt attempt, Outcome how, Message answer) {
        double now = loop.now();
        InstanceSlot s = attempt.slot;
        PendingRequest v = attempt.pending;
        s.used--;
        s.idleSince = now;
        boolean over = v.ended();
        if (how == Outcome.OK) {
            run += (now - attempt.sentAt - run) / (run == 0 ? 1 : SAMPLES);
            if (!over) {
                inHand--;
                over = true;
                environment.answer(
                        v, answer.status(), InstanceResponse.fields(answer), answer.body());
            }
        } else {
            v.failure = answer != null ? answer : v.failure;
            failed(s, how, answer, now, v);
        }
        underWay -= v.outstanding() == 1 ? 1 : 0;
        told(s);
        dispatcher.ended(now, attempt.assignment, how, over, null);
        serve();
    }

    private void failed(InstanceSlot s, Outcome how, Message answer, double now, PendingRequest v) {
        if (how == Outcome.RESET || how == Outcome.CANCELLED) {
            // Guards the limit of slots: what was given up may run on for a while.
            s.doubtful++;
            loop.schedule(
                    Math.max(1, Math.min(v.expiry - now, DOUBT * Math.max(run, 1))),
                    () -> {
                        s.doubtful--;
                        s.idleSince = loop.now();
                        told(s);
                        serve();
                    });
        } else if (how == Outcome.UNREACHABLE || answer != null && answer.status() == 421) {
            environment.pool().empty(s.poolIndex);
            back(s, s.idle(), Messages.InstanceCondition.UNREACHABLE);
            if (how == Outcome.UNREACHABLE && v.unreached < UNREACHED_MOST) {
                // It was sent to nobody, so it is none of the attempts that its route allows.
                v.unreached++;
                v.terms = terms(v);
            }
        } else if (how == Outcome.FULL) {
            refusals++;
            if (s.unassigned) {
                // Guards the platform's limit: who was refused waits before the next try.
                s.unassigned = false;
                s.held = Math.max(0, s.held - 1);
                unassigned.refused(now, environment.schedulers());
                told(s);
            }
            back(s, Math.min(1, s.idle()), Messages.InstanceCondition.OVERLOADED);
        }
    }
}
