package gingerspool.daemon;

import gingerspool.handover.Handover;
import gingerspool.handover.HandoverOwner;
import gingerspool.logging.AsynchronousLogOutput;
import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.ClientEndpoint;
import gingerspool.wire.ConnectionSteering;
import gingerspool.wire.Inbound;
import gingerspool.wire.JsonTree;
import gingerspool.wire.ManagementEndpoint;
import gingerspool.wire.Message;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import sun.misc.Signal;

/** One scheduler process, from its start to its end. */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);

    /**
     * Descriptors kept for neither clients nor workers, and the part of the rest that is for
     * workers.
     */
    private static final int RESERVE = 48;

    private static final int WORKER_SHARE = 4;

    /**
     * The part of clients' descriptors that tasks may hold, so that call-backs and health checks
     * get in.
     */
    private static final double TASK_SHARE = 0.8;

    /** What a process holds for itself at the least, and the fewest that it shares out. */
    private static final int OWN = 24;

    private static final int LEAST = 16;
    private static final double SUMMARY_EVERY = 10_000;

    /** Places for operators' calls, out of the reserve. */
    private static final int CALLS = 24;

    /**
     * After SIGTERM clients come for a while; then the longest expiry may pass, or this if less.
     */
    private static final double LONGEST = 3000;

    /** What is not answered so long before the end of that is abandoned. */
    private static final double SPARE = 300;

    final NodeConfiguration node;
    final Scheduler scheduler;
    final SingleThreadEventLoop loop;
    final ClientEndpoint clients;
    final CountDownLatch ended = new CountDownLatch(1);
    volatile int exitCode;

    /** What SIGHUP does, for tests. */
    Runnable again;

    /** How long the last reload of an operator's file held the loop, in milliseconds. */
    volatile double appliedIn;

    private final ProcessLifecycle lifecycle = new ProcessLifecycle();

    /** Null where operators have no address to call. */
    final ManagementEndpoint management;

    private boolean looking;

    /** Null where no other process can follow this one. */
    private final Handover handover;

    /** Files are written and system calls made here, beside the loop; tests hold it up. */
    ExecutorService files;

    /** Null where no other process can follow this one. */
    ConnectionSteering steering;

    /** Null where no other process can follow this one. */
    private ConnectionClaims claims;

    /** System calls on who gets new connections are made here; tests hold it up. */
    ExecutorService systemCalls;

    private final ConnectionDraining draining;

    Daemon(NodeConfiguration node) throws IOException {
        this.node = node;
        int toWorkers = (node.sockets - RESERVE) / WORKER_SHARE;
        int toClients = node.sockets - RESERVE - toWorkers;
        loop = new SingleThreadEventLoop();
        scheduler = new Scheduler(loop, node, (int) (TASK_SHARE * toClients), toWorkers);
        clients =
                new ClientEndpoint(
                        loop, node.listen, node.management != null, toClients, scheduler);
        draining = new ConnectionDraining(lifecycle, clients, scheduler);
        management =
                node.management == null
                        ? null
                        : new ManagementEndpoint(loop, node.management, CALLS, new Operators());
        handover = management == null || node.scratch == null ? null : handover();
        if (handover != null) {
            scheduler.elsewhere(handover::callBack);
        }
        if (handover == null) {
            clients.listen();
        }
    }

    /** Where the configuration of the process comes from. */
    interface Source {
        NodeConfiguration read() throws ConfigurationException;
    }

    /** Serves until it is told to stop; returns the exit code. */
    public static int serve(Map<String, String> environment) {
        return serve(
                () -> NodeConfiguration.read(environment), d -> {}, d -> d.reload(environment));
    }

    /**
     * The same with a configuration from elsewhere, a step before it begins, and what SIGHUP does.
     */
    static int serve(Source source, Consumer<Daemon> before, Consumer<Daemon> hangup) {
        CompletableFuture<Daemon> made = new CompletableFuture<>();
        onHangup(() -> made.thenAccept(hangup));
        try {
            Daemon daemon = new Daemon(source.read());
            before.accept(daemon);
            made.complete(daemon);
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
            daemon.loop.submit(daemon::begin);
            daemon.ended.await();
            return daemon.exitCode;
        } catch (ConfigurationException e) {
            LOG.atError().addKeyValue("why", e.getMessage()).log("config.fault");
            return 2;
        } catch (IOException e) {
            LOG.atError().addKeyValue("why", e.getMessage()).log("start.failed");
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** Guards against SIGHUP ending the virtual machine, from its first moment on. */
    private static void onHangup(Runnable then) {
        Signal.handle(new Signal("HUP"), signal -> then.run());
    }

    /**
     * On SIGHUP: `discovery` takes effect; a file that can't be used changes nothing. Not on the
     * loop, which must not wait for a file. One call at a time, so that what was read last is what
     * holds.
     */
    synchronized void reload(Map<String, String> environment) {
        try {
            NodeConfiguration read = NodeConfiguration.read(environment);
            loop.submit(() -> follow(read));
        } catch (ConfigurationException e) {
            LOG.atError().addKeyValue("why", e.getMessage()).log("config.refused");
        }
    }

    private void follow(NodeConfiguration read) {
        Set<String> changed = node.differences(read);
        changed.remove("discovery");
        LOG.atInfo()
                .addKeyValue("discovery", read.discovery)
                .addKeyValue("kept", changed)
                .log("config.reloaded");
        scheduler.follow(read.discovery);
    }

    void begin() {
        try {
            if (management != null) {
                management.open();
            }
            if (handover == null) {
                scheduler.begin(node.known, true);
                serve();
            } else {
                if (handover.hasFile()) {
                    steering.prepare();
                }
                handover.begin();
            }
            summarise();
        } catch (BadMessage e) {
            unusable(e);
        }
    }

    private void unusable(BadMessage known) {
        LOG.atError().addKeyValue("why", "known is " + known.getMessage()).log("config.fault");
        exitCode = 2;
        ended.countDown();
    }

    private void serve() {
        clients.open();
        lifecycle.started();
        LOG.atInfo()
                .addKeyValue("name", node.name)
                .addKeyValue("at", Address.text(node.listen))
                .log("serving");
        loop.startUpEnded();
        look();
    }

    private void summarise() {
        LoggingEventBuilder line = LOG.atInfo();
        scheduler.summary(line);
        clients.summary(line);
        if (management != null) {
            management.summary(line);
        }
        line.addKeyValue("latest_timer_ms", Math.round(loop.takeLatestTimerMs())).log("summary");
        loop.schedule(SUMMARY_EVERY, this::summarise);
    }

    /** On SIGTERM, from the virtual machine's own thread: it ends when this returns. */
    private void stop() {
        double toldAt = loop.now();
        // The signal may have come while the process stood still, and its time runs from then.
        loop.submit(() -> leave(loop.earliest(toldAt)));
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        AsynchronousLogOutput.awaitInstalled();
    }

    /** To leave from this time on. */
    void leave(double from) {
        LOG.atInfo().addKeyValue("in_hand", scheduler.unanswered()).log("leaving");
        if (handover != null) {
            handover.leave();
        }
        lifecycle.leave(from, timeToLeave());
        look();
    }

    /** From SIGTERM until what is out is given up, in milliseconds. */
    double timeToLeave() {
        return ProcessLifecycle.STILL_COMING
                + Math.min(LONGEST, node.deployment.longestExpiry)
                - SPARE;
    }

    /** Has the door do what the life's present state asks for, now and as time goes on. */
    private void look() {
        act();
        if (!looking && lifecycle.isChanging()) {
            looking = true;
            loop.schedule(
                    ConnectionDraining.APPLY_EVERY,
                    () -> {
                        looking = false;
                        look();
                    });
        }
    }

    private void act() {
        double now = loop.now();
        draining.apply(now);
        if (ended.getCount() > 0
                && lifecycle.mayEnd(now, handover != null && handover.standsBetween())
                && draining.isEmptied(now)) {
            LoggingEventBuilder line = LOG.atInfo();
            scheduler.summary(line);
            line.log("left");
            ended.countDown();
        }
    }

    private void setDrained(boolean drained) {
        if (drained) {
            lifecycle.drain(loop.now());
        } else {
            lifecycle.activate();
        }
        look();
    }

    // ---- Another process before or after this one ----

    private Handover handover() throws IOException {
        files = blockingThread("files");
        systemCalls = blockingThread("system-calls");
        steering = new ConnectionSteering(loop, systemCalls, loop::submit, handshake());
        claims = new ConnectionClaims(loop, steering, clients, handshake(), this::isBeside);
        return new Handover(
                loop,
                files,
                loop::submit,
                node.scratch,
                node.name,
                (InetSocketAddress) management.address(),
                node.deployment.connectWithin,
                new HandoverState());
    }

    /** Whether the process before this one lives, and none after it has the clients. */
    private boolean isBeside() {
        return handover.hasBefore() && !lifecycle.isSucceeded();
    }

    /** One thread for what blocks, started with its first task. */
    private static ExecutorService blockingThread(String name) {
        return Executors.newSingleThreadExecutor(
                task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /**
     * A client's handshake takes no longer than this, in milliseconds: what the deployment allows a
     * connection, and no more than clients come for after they are sent elsewhere.
     */
    private double handshake() {
        return Math.min(node.deployment.connectWithin, ProcessLifecycle.STILL_COMING);
    }

    /** What hand-over does here. */
    private final class HandoverState implements HandoverOwner {
        /** The list was told, and is followed. */
        private boolean begun;

        @Override
        public Map<String, Object> state() {
            Map<String, Object> state = new LinkedHashMap<>();
            state.put(
                    "discovery",
                    scheduler.discovery() == null ? "" : Address.text(scheduler.discovery()));
            state.put("list", scheduler.list());
            state.put("learned", scheduler.learned());
            return state;
        }

        @Override
        public void adoptState(Object state) throws BadMessage {
            List<String> suspended = Handover.suspended(state);
            if (!(JsonTree.at(state, "list") instanceof Map)) {
                throw new BadMessage(400, "without a list");
            }
            String of = scheduler.discovery() == null ? "" : Address.text(scheduler.discovery());
            // Told a second time, the list may be older than what discovery has told since the
            // first.
            if (!begun) {
                scheduler.begin(
                        JsonTree.at(state, "list"),
                        JsonTree.text("", state, "discovery").equals(of));
                begun = true;
                if (JsonTree.at(state, "learned") instanceof Map<?, ?> learned) {
                    scheduler.learn(learned);
                } else {
                    LOG.atWarn().log("estimates.none");
                }
            }
            scheduler.suspendJust(suspended);
            setDrained(JsonTree.mark(state, "drained"));
        }

        @Override
        public void adoptBans(List<String> suspended, boolean drained) {
            try {
                if (!begun) {
                    scheduler.begin(node.known, true);
                    begun = true;
                }
            } catch (BadMessage e) {
                unusable(e);
            }
            scheduler.suspendJust(suspended);
            setDrained(drained);
        }

        @Override
        public void bind() throws IOException {
            clients.listen();
        }

        @Override
        public void serve() {
            Daemon.this.serve();
        }

        @Override
        public int listenerNumber() {
            return handover.hasBefore() ? claims.listenerNumber() : ConnectionSteering.FIRST;
        }

        @Override
        public void claim(int before, Consumer<Boolean> done) {
            claims.claim(before, done);
        }

        @Override
        public void predecessorGone() {
            if (!lifecycle.isSucceeded()) {
                claims.cancel();
                claims.release();
            }
        }

        @Override
        public void retire() {
            lifecycle.succeeded(loop.now());
            claims.cancel();
            scheduler.mostToWorkers(Math.max(LEAST, scheduler.toWorkers()));
            look();
        }

        @Override
        public void closeListener(boolean claimed) {
            draining.successorListens(claimed, handshake());
            look();
        }

        @Override
        public void takeBack() {
            lifecycle.aloneAgain();
            share(0);
            try {
                bind();
                clients.open();
                // Of a process that is to end nothing is known to have no other one beside it.
                if (!handover.hasBefore() && !lifecycle.isLeaving()) {
                    claims.release();
                }
            } catch (IOException e) {
                LOG.atError().addKeyValue("why", e.getMessage()).log("listen.failed");
            }
            look();
        }

        @Override
        public void sharesWith(int descriptors) {
            share(descriptors);
        }

        @Override
        public int descriptors() {
            return OWN + clients.connections() + scheduler.toWorkers();
        }

        @Override
        public List<String> suspended() {
            return List.copyOf(scheduler.suspended());
        }

        @Override
        public boolean isDrained() {
            return lifecycle.isDrained();
        }

        @Override
        public void carryOut(String what, String worker) {
            LOG.atInfo()
                    .addKeyValue("call", what)
                    .addKeyValue("worker", worker)
                    .log("handover.notification");
            switch (what) {
                case "suspend", "resume" -> scheduler.suspend(worker, what.equals("suspend"));
                case "drain", "activate" -> setDrained(what.equals("drain"));
                default ->
                        LOG.atWarn().addKeyValue("call", what).log("handover.notification_unknown");
            }
        }

        @Override
        public boolean callBackCame(byte[] callBack) throws BadMessage {
            return clients.callBack(callBack);
        }

        @Override
        public void fail(String why) {
            LOG.atError().addKeyValue("why", why).log("start.failed");
            exitCode = 1;
            ended.countDown();
        }
    }

    /**
     * Shares out the descriptors between clients and workers while another process holds so many.
     */
    private void share(int held) {
        int left = Math.max(LEAST, node.sockets - RESERVE - held);
        int toWorkers = left / WORKER_SHARE;
        scheduler.mostToWorkers(toWorkers);
        clients.most(left - toWorkers);
    }

    /** What operators' calls do here. */
    private final class Operators implements ManagementEndpoint.Operations {
        @Override
        public boolean takesClients() {
            return lifecycle.takesClients() && (handover == null || handover.isSettled());
        }

        @Override
        public void suspend(String worker, boolean suspended, ManagementEndpoint.Reply reply) {
            boolean known = lifecycle.hasStarted() && scheduler.suspend(worker, suspended);
            if (!lifecycle.hasStarted()) {
                reply.answer(ManagementEndpoint.Answer.NO);
            } else if (!known) {
                reply.answer(ManagementEndpoint.Answer.UNKNOWN);
            } else {
                spread(suspended ? "suspend" : "resume", worker, reply);
            }
        }

        @Override
        public void drain(boolean drained, ManagementEndpoint.Reply reply) {
            if (!lifecycle.hasStarted()) {
                reply.answer(ManagementEndpoint.Answer.NO);
                return;
            }
            setDrained(drained);
            spread(drained ? "drain" : "activate", "", reply);
        }

        /** Yes once whoever else has to know it does. */
        private void spread(String what, String worker, ManagementEndpoint.Reply reply) {
            LOG.atInfo()
                    .addKeyValue("call", what)
                    .addKeyValue("worker", worker)
                    .addKeyValue("in_hand", scheduler.unanswered())
                    .log("operators.call");
            if (handover == null) {
                reply.answer(ManagementEndpoint.Answer.YES);
            } else {
                handover.propagate(
                        what,
                        worker,
                        reply.calledFrom(),
                        told ->
                                reply.answer(
                                        told
                                                ? ManagementEndpoint.Answer.YES
                                                : ManagementEndpoint.Answer.NO));
            }
        }

        @Override
        public boolean takes(Inbound from, Message request) {
            return handover != null && handover.takes(from, request);
        }
    }
}
