package gingerspool.daemon;

import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.DispatchActions;
import gingerspool.dispatch.Dispatcher;
import gingerspool.dispatch.Outcome;
import gingerspool.dispatch.Task;
import gingerspool.route.Routes;
import gingerspool.store.ClientTask;
import gingerspool.store.ConnectionPool;
import gingerspool.store.TaskRegistry;
import gingerspool.store.WorkerAttempt;
import gingerspool.store.WorkerDirectory;
import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.ClientEndpoint;
import gingerspool.wire.DiscoveryClient;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import gingerspool.wire.Outbound;
import gingerspool.wire.TaskRequest;
import gingerspool.wire.WorkerProtocol;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * The Dispatcher on sockets: hands it what comes in, carries out what it decides, decides nothing
 * itself.
 */
final class Scheduler
        implements DispatchActions,
                ClientEndpoint.RequestHandler,
                DiscoveryClient.Follower,
                WorkerAttempt.Owner,
                ConnectionDraining.Tasks {
    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

    /** The part of the heap that tasks' bodies may fill. */
    private static final int BODY_SHARE = 4;

    /**
     * How far ahead of its expiry a task's answer is due here, in times that answers may be late
     * by.
     */
    private static final double AHEAD = 4;

    private static final String[] HEALTH = {"DELETED", "DRAINING", "SERVING"};
    private static final String[] STATES = {"gone", "draining", "running"};

    /** How long a client's wait may be where its profile does not say. */
    private static final double LONGEST_WAIT = 60_000;

    /** How soon a watch that is ours to keep is opened again, at first and at most. */
    private static final double WATCH_PAUSE = 100;

    private static final double WATCH_PAUSE_MOST = 1600;

    private final EventLoop loop;
    private final Configuration deployment;
    private InetSocketAddress discovery;
    private final Dispatcher dispatcher;
    private final TaskRegistry tasks;
    private final ConnectionPool pool;
    private final WorkerDirectory workers = new WorkerDirectory();
    private final Set<String> suspended = new TreeSet<>();
    private final double ahead;

    /** What the operator's file says of each task; null where there is no such file. */
    private Routes routes;

    private BiConsumer<byte[], IntConsumer> elsewhere;
    private DiscoveryClient watch;
    private double watchPause = WATCH_PAUSE;
    private long version;
    private boolean remembered;
    private final int[] outcomes = new int[Outcome.values().length];
    private int finished;
    private int bounced;
    private int abandoned;
    private int left;

    Scheduler(EventLoop loop, NodeConfiguration node, int mostTasks, int mostToWorkers) {
        this.loop = loop;
        deployment = node.deployment;
        discovery = node.discovery;
        long mostBytes = Runtime.getRuntime().maxMemory() / BODY_SHARE;
        tasks =
                new TaskRegistry(
                        Math.min(mostTasks, deployment.mostTasks),
                        deployment.mostBytes > 0
                                ? Math.min(mostBytes, deployment.mostBytes)
                                : mostBytes);
        pool =
                new ConnectionPool(
                        loop, deployment.connectWithin, deployment.connectionIdle, mostToWorkers);
        ahead = AHEAD * Math.max(deployment.settings.tick, deployment.answerGrace);
        dispatcher = new Dispatcher(deployment.settings, node.seed, this);
    }

    /**
     * Begins with the list as last held, which may be old or null, and asks for the present one.
     * Versions of another discovery say nothing here.
     */
    void begin(Object known, boolean ofThisDiscovery) throws BadMessage {
        if (known != null) {
            remembered = discovery != null;
            DiscoveryClient.tell(known, this);
            remembered = false;
            version = ofThisDiscovery ? version : 0;
        }
        dispatcher.wake(loop.now());
        if (!deployment.settings.listOnRequest) {
            watchList();
        }
    }

    /**
     * From now on tasks that come go by these routes, and by these profiles of the names that there
     * are.
     */
    void use(Routes newRoutes, Configuration changed) {
        routes = newRoutes;
        if (changed != null) {
            // Guards against indexes of another file: what is known keeps its own, what is new
            // comes behind.
            String[] kinds = new String[changed.kinds.size()];
            changed.kinds.forEach((name, i) -> kinds[i] = name);
            for (String name : kinds) {
                deployment.kinds.putIfAbsent(name, deployment.kinds.size());
            }
            changed.zones
                    .keySet()
                    .forEach(z -> deployment.zones.putIfAbsent(z, deployment.zones.size()));
            changed.profiles.forEach(
                    (name, p) -> {
                        p.kind = p.kind < 0 ? -1 : deployment.kinds.get(kinds[p.kind]);
                        deployment.profiles.put(name, p);
                    });
            double[] allowance = changed.settings.allowance;
            System.arraycopy(allowance, 0, deployment.settings.allowance, 0, allowance.length);
        }
    }

    Routes routes() {
        return routes;
    }

    /** Another fixed list: who is not on it is gone. */
    void listFixed(Object list) throws BadMessage {
        DiscoveryClient.tell(list, this);
    }

    // ---- The list ----

    @Override
    public void listBegins(long newVersion, boolean whole) {
        version = newVersion;
        dispatcher.listBegins(loop.now(), whole);
    }

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
        int known = workers.size();
        int w = workers.index(host);
        if (w == known) {
            dispatcher.called(w, host);
        }
        if (workers.setAddress(w, dial)) {
            pool.empty(w);
        }
        pool.keep(w, state == Dispatcher.RUNNING && !suspended.contains(host));
        workers.setEntry(w, new WorkerDirectory.Entry(zone, kind, cell, size, started));
        if (workers.setState(w, state)) {
            LOG.atInfo()
                    .addKeyValue("worker", host)
                    .addKeyValue("zone", zone)
                    .addKeyValue("state", STATES[state])
                    .log("worker.listed");
        }
        dispatcher.listed(
                w,
                deployment.zones.getOrDefault(zone, -1),
                deployment.kinds.getOrDefault(kind, 0),
                cell,
                workers.address(w) == null ? Dispatcher.GONE : state,
                size,
                started);
        if (suspended.contains(host)) {
            dispatcher.suspended(loop.now(), w);
        }
    }

    @Override
    public void listEnds(boolean whole) {
        dispatcher.listEnds(loop.now(), whole, remembered);
        watchPause = WATCH_PAUSE;
    }

    @Override
    public void watchEnded(String why) {
        watch = null;
        LOG.atWarn().addKeyValue("why", why).log("discovery.stream_ended");
        if (deployment.settings.listOnRequest) {
            dispatcher.listFailed(loop.now());
        } else {
            // Guards the drain rule where the list is pushed: the module does not ask there, the
            // host must.
            loop.schedule(watchPause, this::watchList);
            watchPause = Math.min(2 * watchPause, WATCH_PAUSE_MOST);
        }
    }

    /**
     * There is one watch at most: the timers and calls that ask for one while it is open have it.
     */
    @Override
    public void watchList() {
        if (watch == null && discovery != null) {
            watch = DiscoveryClient.open(loop, discovery, version, deployment.connectWithin, this);
        }
    }

    /**
     * The list is to be followed at this address: at once, and whole, since versions are each its
     * own.
     */
    void follow(InetSocketAddress address) {
        if (!address.equals(discovery)) {
            discovery = address;
            version = 0;
            if (watch != null) {
                watch.close();
                watch = null;
            }
        }
        watchPause = WATCH_PAUSE;
        watchList();
    }

    // ---- Operators' words on workers ----

    /**
     * Nothing new goes to this worker from here on, or it is put back; tells whether it ever was
     * listed.
     */
    boolean suspend(String name, boolean suspended) {
        int w = workers.find(name);
        if (w < 0) {
            return false;
        }
        if (suspended) {
            this.suspended.add(name);
            dispatcher.suspended(loop.now(), w);
            pool.keep(w, false);
            // Guards the ban against what was decided before it and waits for a connection to come
            // up.
            for (ClientTask t : tasks.all()) {
                WorkerAttempt attempt = outAt(t, w);
                if (attempt != null) {
                    attempt.takeBack();
                }
            }
        } else {
            this.suspended.remove(name);
            pool.keep(w, workers.state(w) == Dispatcher.RUNNING);
            dispatcher.resumed(loop.now(), w);
        }
        return true;
    }

    /** The workers kept out of use, by name. */
    Set<String> suspended() {
        return suspended;
    }

    /** Just these are kept out of use, whether they are listed yet or not. */
    void suspendJust(Collection<String> names) {
        for (String name : List.copyOf(suspended)) {
            if (!names.contains(name)) {
                suspend(name, false);
            }
        }
        for (String name : names) {
            suspend(name, true);
            suspended.add(name);
        }
    }

    // ---- What another process is told ----

    /** The list as last held, in discovery's form, with all workers that it ever named. */
    Map<String, Object> list() {
        List<Object> hosts = new ArrayList<>();
        for (int w = 0; w < workers.size(); w++) {
            WorkerDirectory.Entry e = workers.entry(w);
            if (e == null) {
                continue;
            }
            Map<String, Object> host = new LinkedHashMap<>();
            host.put("host", workers.name(w));
            host.put("dial", workers.address(w) == null ? "" : Address.text(workers.address(w)));
            host.put("site", e.zone());
            host.put("class", e.kind());
            host.put("block", e.cell());
            host.put("health", HEALTH[workers.state(w)]);
            host.put("share", e.size());
            host.put("born_ms", dispatcher.startedAt(w));
            hosts.add(host);
        }
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("seq", version);
        list.put("whole", true);
        list.put("hosts", hosts);
        return list;
    }

    Map<String, Object> learned() {
        return dispatcher.learned();
    }

    void learn(Map<?, ?> told) {
        dispatcher.learn(loop.now(), told);
        if (!dispatcher.afresh().isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("parts", String.join(",", dispatcher.afresh()))
                    .log("estimates.reset");
        }
    }

    InetSocketAddress discovery() {
        return discovery;
    }

    /** From now on so many connections to workers at the most. */
    void mostToWorkers(int connections) {
        pool.most(connections);
    }

    int toWorkers() {
        return pool.size();
    }

    /** Who else may own a task that is not ours; null: nobody. */
    void elsewhere(BiConsumer<byte[], IntConsumer> others) {
        elsewhere = others;
    }

    // ---- Tasks come and go ----

    @Override
    public boolean knowsProfile(String name) {
        return deployment.profiles.containsKey(name);
    }

    @Override
    public boolean inHand(String id) {
        return tasks.find(id) != null;
    }

    @Override
    public boolean hasRoomFor(int bytes) {
        return tasks.hasRoomFor(bytes);
    }

    @Override
    public void arrived(TaskRequest request) {
        ClientTask t = new ClientTask(request.id(), request.client(), request.message());
        t.profile = deployment.profiles.get(request.profile());
        String tenant = request.tenant();
        t.tenant = tenant == null ? -1 : deployment.tenants.getOrDefault(tenant, -1);
        double most = t.profile.expiry > 0 ? t.profile.expiry : LONGEST_WAIT;
        double told = request.timeLeft();
        double wait = Double.isNaN(told) ? most : Math.min(told, most);
        double at = loop.now();
        // The client counts from when it wrote, however long that was under way to us.
        double left = wait - Math.max(0, at - request.arrivedFrom());
        if (left <= 0) {
            refuseExpired(request);
            return;
        }
        t.expiry = at + left - Math.min(ahead, left / 2);
        t.hint = request.hint();
        t.width = (int) Math.max(1, request.width());
        t.memory = request.memory();
        t.repeat = request.repeat();
        if (routes != null) {
            String target = request.message().target();
            int query = target.indexOf('?');
            t.stay =
                    routes.admit(
                            at,
                            t,
                            query < 0 ? target : target.substring(0, query),
                            request.message().field("host"),
                            tenant);
        }
        tasks.add(t);
        Trace.arrived(t);
        request.client().whenGone(() -> gone(t));
        dispatcher.arrived(at, t);
        tasks.release(t);
    }

    /** Its time may be over already: any answer but one at once would be later still. */
    private void refuseExpired(TaskRequest request) {
        bounced++;
        ClientEndpoint.bounced(request.client(), 0);
    }

    private void gone(ClientTask t) {
        clear(t, false);
        left++;
        Trace.answered(loop.now(), t, "left");
        dispatcher.left(loop.now(), t);
        tasks.release(t);
    }

    /**
     * Nothing is owed any more for this task: its client, and its place within the limits, are let
     * go.
     */
    private void clear(ClientTask t, boolean finished) {
        t.client = null;
        if (t.stay != null) {
            Routes.done(loop.now(), t.stay, finished);
        }
    }

    @Override
    public void bounce(Task task, double pause) {
        ClientTask t = (ClientTask) task;
        bounced++;
        Trace.answered(loop.now(), t, "bounced");
        ClientEndpoint.bounced(t.client, pause);
        answered(t);
    }

    @Override
    public void abandon(Task task) {
        ClientTask t = (ClientTask) task;
        abandoned++;
        Trace.answered(loop.now(), t, "abandoned");
        ClientEndpoint.abandoned(t.client);
        answered(t);
    }

    private void answered(ClientTask t) {
        clear(t, false);
        tasks.release(t);
    }

    // ---- Assignments ----

    @Override
    public void send(Assignment a, double timeout) {
        ClientTask t = (ClientTask) a.task;
        WorkerAttempt attempt = new WorkerAttempt(a, deployment.reports, this);
        t.attempts.add(attempt);
        double now = loop.now();
        double wait = timeout > 0 ? Math.min(timeout, t.expiry - now) : t.expiry - now;
        if (wait <= 0 || t.ended()) {
            loop.execute(() -> attempt.fail(Outcome.MOOT));
            return;
        }
        InetSocketAddress address = workers.address(a.worker);
        try {
            int before = pool.size();
            Outbound connection = pool.take(a.worker, address);
            Trace.sent(a, workers.name(a.worker), pool.size() > before);
            Future<?> alarm = loop.schedule(wait, () -> attempt.giveUp(Outcome.TIMEOUT));
            attempt.begin(connection, alarm);
            connection.ask(
                    WorkerProtocol.request(t.request, address, wait),
                    wait + deployment.connectWithin,
                    attempt);
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("worker", workers.name(a.worker))
                    .addKeyValue("why", e.getMessage())
                    .log("worker.no_connection");
            loop.execute(() -> attempt.fail(Outcome.UNREACHABLE));
        }
    }

    @Override
    public void cancel(Assignment a) {
        WorkerAttempt attempt = ((ClientTask) a.task).attempts.get(a.number);
        loop.execute(() -> attempt.giveUp(Outcome.CANCELLED));
    }

    @Override
    public void giveUp(WorkerAttempt attempt) {
        int w = attempt.assignment.worker;
        try {
            byte[] request = WorkerProtocol.giveUp(attempt.task.id, workers.address(w));
            pool.take(w, workers.address(w)).ask(request, deployment.connectWithin, null);
        } catch (IOException e) {
            LOG.atWarn()
                    .addKeyValue("worker", workers.name(w))
                    .addKeyValue("why", e.getMessage())
                    .log("worker.cancel_failed");
        }
    }

    @Override
    public boolean told(
            String id, String from, String state, double share, String result, Object load) {
        ClientTask t = tasks.find(id);
        int worker = workers.find(from);
        WorkerAttempt attempt = t == null ? null : outAt(t, worker);
        if (attempt == null) {
            return t != null && t.attempts.stream().anyMatch(e -> e.assignment.worker == worker);
        }
        Outcome how = WorkerProtocol.outcome(state);
        if (how != null) {
            end(attempt, how, result, load);
        } else if (state.equals("started")) {
            dispatcher.started(loop.now(), attempt.assignment);
        } else if (state.equals("running")) {
            dispatcher.progressed(loop.now(), attempt.assignment, share);
        }
        return true;
    }

    @Override
    public void elsewhere(byte[] callBack, IntConsumer status) {
        if (elsewhere == null) {
            status.accept(200);
        } else {
            elsewhere.accept(callBack, status);
        }
    }

    private void end(WorkerAttempt attempt, Outcome how, String result, Object load) {
        ClientTask t = attempt.task;
        if (how == Outcome.OK && t.client != null) {
            finished++;
            Trace.answered(loop.now(), t, "finished");
            ClientEndpoint.finished(t.client, result);
            clear(t, true);
        }
        Outcome sure = how == Outcome.FULL && repeats(attempt) ? Outcome.RESET : how;
        attempt.told(sure, deployment.reports.read(load));
    }

    /**
     * Guards rule two: that a task was handed back may be a repeat, said of an earlier assignment.
     */
    private static boolean repeats(WorkerAttempt attempt) {
        for (WorkerAttempt e : attempt.task.attempts) {
            if (e != attempt
                    && e.endedByCallBack()
                    && e.assignment.worker == attempt.assignment.worker) {
                return true;
            }
        }
        return false;
    }

    /**
     * The task's errand that is out at this worker, or null: what is late or repeated counts for
     * nothing.
     */
    private static WorkerAttempt outAt(ClientTask t, int worker) {
        for (WorkerAttempt e : t.attempts) {
            if (!e.isOver() && e.assignment.worker == worker) {
                return e;
            }
        }
        return null;
    }

    @Override
    public void ended(WorkerAttempt attempt, Outcome how, double[] report) {
        ClientTask t = attempt.task;
        outcomes[how.ordinal()]++;
        Trace.ended(attempt.assignment, workers.name(attempt.assignment.worker), how, report);
        boolean over = t.ended() || how == Outcome.OK;
        dispatcher.ended(loop.now(), attempt.assignment, how, over, report);
        tasks.release(t);
    }

    @Override
    public void probe(int worker) {
        try {
            InetSocketAddress address = workers.address(worker);
            pool.take(worker, address)
                    .ask(
                            WorkerProtocol.probe(address),
                            deployment.connectWithin,
                            new Outbound.Caller() {
                                @Override
                                public void answered(Message answer) {
                                    probed(
                                            worker,
                                            deployment.reports.read(WorkerProtocol.probed(answer)));
                                }

                                @Override
                                public void broke(boolean allWritten) {
                                    dispatcher.reportMissing(loop.now(), worker);
                                }
                            });
        } catch (IOException e) {
            loop.execute(() -> probed(worker, null));
        }
    }

    private void probed(int worker, double[] report) {
        dispatcher.probed(loop.now(), worker, report);
    }

    @Override
    public void wakeAfter(double span) {
        double due = loop.now() + Math.max(span, 0.01);
        // Guards against a timer that fires a hair early: the module would wait for it once more,
        // in vain.
        loop.schedule(due - loop.now(), () -> dispatcher.wake(Math.max(due, loop.now())));
    }

    // ---- The end ----

    /** Abandons what is still in hand: better this answer than none. */
    @Override
    public void abandonAll() {
        for (ClientTask t : tasks.all()) {
            if (t.client != null) {
                Inbound client = t.client;
                clear(t, false);
                abandoned++;
                ClientEndpoint.abandoned(client);
                dispatcher.left(loop.now(), t);
            }
        }
    }

    /** How many tasks have no answer yet. */
    @Override
    public int unanswered() {
        int n = 0;
        for (ClientTask t : tasks.all()) {
            n += t.client == null ? 0 : 1;
        }
        return n;
    }

    /** Counts since the last call. */
    void summary(LoggingEventBuilder line) {
        line.addKeyValue("finished", finished)
                .addKeyValue("bounced", bounced)
                .addKeyValue("abandoned", abandoned)
                .addKeyValue("left", left)
                .addKeyValue("in_hand", tasks.size());
        for (Outcome how : Outcome.values()) {
            int n = outcomes[how.ordinal()];
            if (n > 0) {
                line.addKeyValue(how.name().toLowerCase(Locale.ROOT), n);
            }
        }
        line.addKeyValue("to_workers", pool.size());
        if (!suspended.isEmpty()) {
            line.addKeyValue("suspended", suspended.size());
        }
        if (routes != null) {
            routes.counts()
                    .forEach((name, n) -> line.addKeyValue("route." + name, n[0] + "+" + n[1]));
        }
        Arrays.fill(outcomes, 0);
        finished = 0;
        bounced = 0;
        abandoned = 0;
        left = 0;
    }
}
