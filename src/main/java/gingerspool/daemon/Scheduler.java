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
 * Connects the {@link Dispatcher} to the sockets: passes it client requests, worker callbacks and
 * the worker list, and carries out its decisions. Makes no scheduling decision itself.
 *
 * <p>Created by {@link Daemon}. Thread: the event loop. Times are milliseconds on its clock.
 */
final class Scheduler
        implements DispatchActions,
                ClientEndpoint.RequestHandler,
                DiscoveryClient.Follower,
                WorkerAttempt.Owner,
                ConnectionDraining.Tasks {
    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);

    /** The bodies of tasks may fill the maximum heap divided by this. */
    private static final int BODY_HEAP_DIVISOR = 4;

    /**
     * A task must be answered this long before its expiry, as a multiple of the time by which
     * answers may be late.
     */
    private static final double ANSWER_MARGIN_FACTOR = 4;

    /** The health that discovery reports, by worker state. */
    private static final String[] DISCOVERY_HEALTH = {"DELETED", "DRAINING", "SERVING"};

    /** The names of the worker states in the log. */
    private static final String[] STATE_NAMES = {"gone", "draining", "running"};

    /** The maximum time a client waits where its profile has no expiry, in milliseconds. */
    private static final double DEFAULT_EXPIRY_MS = 60_000;

    /**
     * The delay before a pushed worker list is watched again after its stream ended, in
     * milliseconds; it doubles up to the maximum until a list arrives.
     */
    private static final double WATCH_RETRY_MIN_MS = 100;

    private static final double WATCH_RETRY_MAX_MS = 1600;

    private final EventLoop loop;
    private final Configuration deployment;
    private InetSocketAddress discovery;
    private final Dispatcher dispatcher;
    private final TaskRegistry tasks;
    private final ConnectionPool pool;
    private final WorkerDirectory workers = new WorkerDirectory();
    private final Set<String> suspended = new TreeSet<>();

    /** How long before its expiry a task must be answered, in milliseconds. */
    private final double answerMargin;

    /** The routes of the operator's file; null without such a file. */
    private Routes routes;

    /** Forwards callbacks about unknown tasks to other processes; null if there are none. */
    private BiConsumer<byte[], IntConsumer> callbackForwarder;

    /** The open watch of the worker list; null if there is none. */
    private DiscoveryClient watch;

    private double watchRetryDelay = WATCH_RETRY_MIN_MS;

    /** The version of the worker list; 0 if the address in use has sent none. */
    private long listVersion;

    /** Whether the list being applied is an earlier one that discovery has not confirmed. */
    private boolean listMayBeStale;

    /** Ended assignments by outcome. All counts are those since the last summary. */
    private final int[] outcomes = new int[Outcome.values().length];

    private int finished;
    private int bounced;
    private int abandoned;
    private int clientsGone;

    Scheduler(EventLoop loop, NodeConfiguration node, int maxTasks, int maxWorkerConnections) {
        this.loop = loop;
        deployment = node.deployment;
        discovery = node.discovery;
        long maxBodyBytes = Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR;
        tasks =
                new TaskRegistry(
                        Math.min(maxTasks, deployment.maxTasks),
                        deployment.maxBodyBytes > 0
                                ? Math.min(maxBodyBytes, deployment.maxBodyBytes)
                                : maxBodyBytes);
        pool =
                new ConnectionPool(
                        loop,
                        deployment.connectTimeout,
                        deployment.connectionIdleTimeout,
                        maxWorkerConnections);
        answerMargin =
                ANSWER_MARGIN_FACTOR * Math.max(deployment.settings.tick, deployment.answerGrace);
        dispatcher = new Dispatcher(deployment.settings, node.seed, this);
    }

    /**
     * Starts with the last known worker list, which may be outdated or null, and requests the
     * current one. The list's version only counts if it came from the discovery address in use.
     */
    void start(Object knownList, boolean fromSameDiscovery) throws BadMessage {
        if (knownList != null) {
            listMayBeStale = discovery != null;
            DiscoveryClient.tell(knownList, this);
            listMayBeStale = false;
            listVersion = fromSameDiscovery ? listVersion : 0;
        }
        dispatcher.wake(loop.now());
        if (!deployment.settings.listOnRequest) {
            watchList();
        }
    }

    /**
     * Applies these routes, and the profiles, zones and allowances of the changed configuration if
     * there is one, to tasks that arrive from now on.
     */
    void reconfigure(Routes newRoutes, Configuration changed) {
        routes = newRoutes;
        if (changed != null) {
            // Guards against the use of another file's indexes: known names keep their index, new
            // names are appended.
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

    /** Replaces the fixed worker list; workers that are not on the new one are gone. */
    void applyFixedList(Object list) throws BadMessage {
        DiscoveryClient.tell(list, this);
    }

    // ---- Worker list ----

    @Override
    public void listBegins(long newVersion, boolean whole) {
        listVersion = newVersion;
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
        int listedBefore = workers.size();
        int w = workers.findOrAdd(host);
        if (w == listedBefore) {
            dispatcher.workerNamed(w, host);
        }
        if (workers.setAddress(w, dial)) {
            pool.closeIdle(w);
        }
        pool.setKeepIdle(w, state == Dispatcher.RUNNING && !suspended.contains(host));
        workers.setEntry(w, new WorkerDirectory.Entry(zone, kind, cell, size, started));
        if (workers.setState(w, state)) {
            LOG.atInfo()
                    .addKeyValue("worker", host)
                    .addKeyValue("zone", zone)
                    .addKeyValue("state", STATE_NAMES[state])
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
        dispatcher.listEnds(loop.now(), whole, listMayBeStale);
        watchRetryDelay = WATCH_RETRY_MIN_MS;
    }

    @Override
    public void watchEnded(String why) {
        watch = null;
        LOG.atWarn().addKeyValue("why", why).log("discovery.stream_ended");
        if (deployment.settings.listOnRequest) {
            dispatcher.listFailed(loop.now());
        } else {
            // Guards the drain rule where the list is pushed: the dispatcher does not request it
            // there, so the host must.
            loop.schedule(watchRetryDelay, this::watchList);
            watchRetryDelay = Math.min(2 * watchRetryDelay, WATCH_RETRY_MAX_MS);
        }
    }

    /** Opens a watch unless one is open: several timers and calls may request one. */
    @Override
    public void watchList() {
        if (watch == null && discovery != null) {
            watch =
                    DiscoveryClient.open(
                            loop, discovery, listVersion, deployment.connectTimeout, this);
        }
    }

    /**
     * Follows the worker list at this discovery address, at once. After a change of address the
     * whole list is requested, since each address counts its own versions.
     */
    void followDiscovery(InetSocketAddress address) {
        if (!address.equals(discovery)) {
            discovery = address;
            listVersion = 0;
            if (watch != null) {
                watch.close();
                watch = null;
            }
        }
        watchRetryDelay = WATCH_RETRY_MIN_MS;
        watchList();
    }

    // ---- Suspension of workers by operators ----

    /**
     * Stops or resumes new assignments to this worker.
     *
     * @return whether the worker was ever listed
     */
    boolean suspend(String name, boolean suspended) {
        int w = workers.find(name);
        if (w < 0) {
            return false;
        }
        if (suspended) {
            this.suspended.add(name);
            dispatcher.suspended(loop.now(), w);
            pool.setKeepIdle(w, false);
            // Guards the suspension against assignments decided earlier that still wait for their
            // connection to be established.
            for (ClientTask t : tasks.all()) {
                WorkerAttempt attempt = attemptInFlight(t, w);
                if (attempt != null) {
                    attempt.withdraw();
                }
            }
        } else {
            this.suspended.remove(name);
            pool.setKeepIdle(w, workers.state(w) == Dispatcher.RUNNING);
            dispatcher.resumed(loop.now(), w);
        }
        return true;
    }

    /** The names of the suspended workers. */
    Set<String> suspended() {
        return suspended;
    }

    /** Suspends exactly these workers, whether they are listed yet or not. */
    void setSuspended(Collection<String> names) {
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

    // ---- State for another process ----

    /** The last known list in the format of discovery, with every worker that was ever listed. */
    Map<String, Object> workerList() {
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
            host.put("health", DISCOVERY_HEALTH[workers.state(w)]);
            host.put("share", e.size());
            host.put("born_ms", dispatcher.startedAt(w));
            hosts.add(host);
        }
        Map<String, Object> list = new LinkedHashMap<>();
        list.put("seq", listVersion);
        list.put("whole", true);
        list.put("hosts", hosts);
        return list;
    }

    /** What the dispatcher has learned about workers and tasks, for the next process. */
    Map<String, Object> estimates() {
        return dispatcher.learned();
    }

    /** Adopts the estimates of the previous process; logs the parts that could not be adopted. */
    void restoreEstimates(Map<?, ?> estimates) {
        dispatcher.restoreLearned(loop.now(), estimates);
        if (!dispatcher.resetParts().isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("parts", String.join(",", dispatcher.resetParts()))
                    .log("estimates.reset");
        }
    }

    InetSocketAddress discovery() {
        return discovery;
    }

    /** Limits the connections to workers from now on. */
    void setMaxWorkerConnections(int connections) {
        pool.setMaxConnections(connections);
    }

    int workerConnections() {
        return pool.size();
    }

    /** Sets where callbacks about unknown tasks go; null if no other process may own them. */
    void forwardCallbacksTo(BiConsumer<byte[], IntConsumer> forwarder) {
        callbackForwarder = forwarder;
    }

    // ---- Client tasks ----

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
        double maxWait = t.profile.expiry > 0 ? t.profile.expiry : DEFAULT_EXPIRY_MS;
        double statedTimeLeft = request.timeLeft();
        double wait = Double.isNaN(statedTimeLeft) ? maxWait : Math.min(statedTimeLeft, maxWait);
        double now = loop.now();
        // The client's time runs from the sending of the request, not from the reading of it.
        double timeLeft = wait - Math.max(0, now - request.arrivedFrom());
        if (timeLeft <= 0) {
            refuseExpired(request);
            return;
        }
        t.expiry = now + timeLeft - Math.min(answerMargin, timeLeft / 2);
        t.hint = request.hint();
        t.width = (int) Math.max(1, request.width());
        t.memory = request.memory();
        t.repeat = request.repeat();
        if (routes != null) {
            String target = request.message().target();
            int query = target.indexOf('?');
            t.admission =
                    routes.admit(
                            now,
                            t,
                            query < 0 ? target : target.substring(0, query),
                            request.message().field("host"),
                            tenant);
        }
        tasks.add(t);
        Trace.arrived(t);
        request.client().whenGone(() -> clientGone(t));
        dispatcher.arrived(now, t);
        tasks.release(t);
    }

    /** Rejects a task whose time is already over at once; any other answer would be even later. */
    private void refuseExpired(TaskRequest request) {
        bounced++;
        ClientEndpoint.bounced(request.client(), 0);
    }

    private void clientGone(ClientTask t) {
        releaseClient(t, false);
        clientsGone++;
        Trace.answered(loop.now(), t, "left");
        dispatcher.clientLeft(loop.now(), t);
        tasks.release(t);
    }

    /**
     * Detaches the task's client, which needs no further answer, and frees the task's place within
     * the limits of its route.
     */
    private void releaseClient(ClientTask t, boolean finished) {
        t.client = null;
        if (t.admission != null) {
            Routes.release(loop.now(), t.admission, finished);
        }
    }

    @Override
    public void bounce(Task task, double pause) {
        ClientTask t = (ClientTask) task;
        bounced++;
        Trace.answered(loop.now(), t, "bounced");
        ClientEndpoint.bounced(t.client, pause);
        releaseAnswered(t);
    }

    @Override
    public void abandon(Task task) {
        ClientTask t = (ClientTask) task;
        abandoned++;
        Trace.answered(loop.now(), t, "abandoned");
        ClientEndpoint.abandoned(t.client);
        releaseAnswered(t);
    }

    private void releaseAnswered(ClientTask t) {
        releaseClient(t, false);
        tasks.release(t);
    }

    // ---- Assignments ----

    @Override
    public void send(Assignment a, double timeout) {
        ClientTask t = (ClientTask) a.task;
        WorkerAttempt attempt = new WorkerAttempt(a, deployment.loadReport, this);
        t.attempts.add(attempt);
        double now = loop.now();
        double wait = timeout > 0 ? Math.min(timeout, t.expiry - now) : t.expiry - now;
        if (wait <= 0 || t.ended()) {
            loop.execute(() -> attempt.fail(Outcome.MOOT));
            return;
        }
        InetSocketAddress address = workers.address(a.worker);
        try {
            int connectionsBefore = pool.size();
            Outbound connection = pool.acquire(a.worker, address);
            Trace.sent(a, workers.name(a.worker), pool.size() > connectionsBefore);
            Future<?> timeoutTimer = loop.schedule(wait, () -> attempt.abort(Outcome.TIMEOUT));
            attempt.begin(connection, timeoutTimer);
            connection.ask(
                    WorkerProtocol.request(t.request, address, wait),
                    wait + deployment.connectTimeout,
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
        loop.execute(() -> attempt.abort(Outcome.CANCELLED));
    }

    @Override
    public void cancelOnWorker(WorkerAttempt attempt) {
        int w = attempt.assignment.worker;
        try {
            byte[] request = WorkerProtocol.giveUp(attempt.task.id, workers.address(w));
            pool.acquire(w, workers.address(w)).ask(request, deployment.connectTimeout, null);
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
        WorkerAttempt attempt = t == null ? null : attemptInFlight(t, worker);
        if (attempt == null) {
            return t != null && t.attempts.stream().anyMatch(e -> e.assignment.worker == worker);
        }
        Outcome outcome = WorkerProtocol.outcome(state);
        if (outcome != null) {
            finishAttempt(attempt, outcome, result, load);
        } else if (state.equals("started")) {
            dispatcher.started(loop.now(), attempt.assignment);
        } else if (state.equals("running")) {
            dispatcher.progressed(loop.now(), attempt.assignment, share);
        }
        return true;
    }

    @Override
    public void elsewhere(byte[] callBack, IntConsumer status) {
        if (callbackForwarder == null) {
            status.accept(200);
        } else {
            callbackForwarder.accept(callBack, status);
        }
    }

    /** Ends an assignment by its callback, and answers the client if the task succeeded. */
    private void finishAttempt(WorkerAttempt attempt, Outcome outcome, String result, Object load) {
        ClientTask t = attempt.task;
        if (outcome == Outcome.OK && t.client != null) {
            finished++;
            Trace.answered(loop.now(), t, "finished");
            ClientEndpoint.finished(t.client, result);
            releaseClient(t, true);
        }
        Outcome confirmed =
                outcome == Outcome.FULL && mayBeRepeated(attempt) ? Outcome.RESET : outcome;
        attempt.callbackReceived(confirmed, deployment.loadReport.read(load));
    }

    /**
     * Guards rule two: a callback that hands the task back may be a repeat that belongs to an
     * earlier assignment at this worker.
     */
    private static boolean mayBeRepeated(WorkerAttempt attempt) {
        for (WorkerAttempt other : attempt.task.attempts) {
            if (other != attempt
                    && other.endedByCallback()
                    && other.assignment.worker == attempt.assignment.worker) {
                return true;
            }
        }
        return false;
    }

    /**
     * The task's assignment in flight at this worker, or null. Late and repeated callbacks match
     * none and are ignored.
     */
    private static WorkerAttempt attemptInFlight(ClientTask t, int worker) {
        for (WorkerAttempt attempt : t.attempts) {
            if (!attempt.isOver() && attempt.assignment.worker == worker) {
                return attempt;
            }
        }
        return null;
    }

    @Override
    public void ended(WorkerAttempt attempt, Outcome outcome, double[] report) {
        ClientTask t = attempt.task;
        outcomes[outcome.ordinal()]++;
        Trace.ended(attempt.assignment, workers.name(attempt.assignment.worker), outcome, report);
        boolean taskEnded = t.ended() || outcome == Outcome.OK;
        dispatcher.ended(loop.now(), attempt.assignment, outcome, taskEnded, report);
        tasks.release(t);
    }

    @Override
    public void probe(int worker) {
        try {
            InetSocketAddress address = workers.address(worker);
            pool.acquire(worker, address)
                    .ask(
                            WorkerProtocol.probe(address),
                            deployment.connectTimeout,
                            new Outbound.Caller() {
                                @Override
                                public void answered(Message answer) {
                                    recordProbe(
                                            worker,
                                            deployment.loadReport.read(
                                                    WorkerProtocol.probed(answer)));
                                }

                                @Override
                                public void broke(boolean allWritten) {
                                    dispatcher.reportMissing(loop.now(), worker);
                                }
                            });
        } catch (IOException e) {
            loop.execute(() -> recordProbe(worker, null));
        }
    }

    private void recordProbe(int worker, double[] report) {
        dispatcher.reportReceived(loop.now(), worker, report);
    }

    @Override
    public void wakeAfter(double delay) {
        double due = loop.now() + Math.max(delay, 0.01);
        // Guards against a timer that fires slightly early: the dispatcher would find nothing due
        // and need another timer.
        loop.schedule(due - loop.now(), () -> dispatcher.wake(Math.max(due, loop.now())));
    }

    // ---- Shutdown ----

    /** Answers all unanswered tasks as abandoned: a failure response is better than none. */
    @Override
    public void abandonAll() {
        for (ClientTask t : tasks.all()) {
            if (t.client != null) {
                Inbound client = t.client;
                releaseClient(t, false);
                abandoned++;
                ClientEndpoint.abandoned(client);
                dispatcher.clientLeft(loop.now(), t);
            }
        }
    }

    /** The number of tasks without an answer. */
    @Override
    public int unanswered() {
        int count = 0;
        for (ClientTask t : tasks.all()) {
            count += t.client == null ? 0 : 1;
        }
        return count;
    }

    /** Adds the counts since the last call to this log line and resets them. */
    void summary(LoggingEventBuilder line) {
        line.addKeyValue("finished", finished)
                .addKeyValue("bounced", bounced)
                .addKeyValue("abandoned", abandoned)
                .addKeyValue("left", clientsGone)
                .addKeyValue("in_hand", tasks.size());
        for (Outcome outcome : Outcome.values()) {
            int count = outcomes[outcome.ordinal()];
            if (count > 0) {
                line.addKeyValue(outcome.name().toLowerCase(Locale.ROOT), count);
            }
        }
        line.addKeyValue("to_workers", pool.size());
        if (!suspended.isEmpty()) {
            line.addKeyValue("suspended", suspended.size());
        }
        if (routes != null) {
            routes.counts()
                    .forEach(
                            (name, counts) ->
                                    line.addKeyValue("route." + name, counts[0] + "+" + counts[1]));
        }
        Arrays.fill(outcomes, 0);
        finished = 0;
        bounced = 0;
        abandoned = 0;
        clientsGone = 0;
    }
}
