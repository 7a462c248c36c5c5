package gingerspool.daemon;

import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.Door;
import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import sun.misc.Signal;

/** One scheduler process, from its start to its end. */
public final class Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);
    /** Descriptors kept for neither clients nor workers, and the part of the rest that is for workers. */
    private static final int RESERVE = 48;
    private static final int WORKER_SHARE = 4;
    /** The part of clients' descriptors that tasks may hold, so that call-backs and health checks get in. */
    private static final double TASK_SHARE = 0.8;
    private static final double SUMMARY_EVERY = 10_000;
    /** After SIGTERM clients come for this long; then the longest expiry may pass, or LONGEST if less. */
    private static final double STILL_COMING = 700;
    private static final double LONGEST = 3000;
    /** What is not answered so long before the end of that is abandoned. */
    private static final double SPARE = 300;
    /** The part of the time to leave in which connections are kept: others may be restarting as well. */
    private static final double KEPT = 0.75;
    private static final double LOOK_EVERY = 20;

    final NodeConfiguration node;
    final Scheduler scheduler;
    final Loop loop;
    final Door door;
    final CountDownLatch ended = new CountDownLatch(1);
    volatile int exitCode;
    /** What SIGHUP does, for tests. */
    Runnable again;
    /** How long the last reload of an operator's file held the loop, in milliseconds. */
    volatile double appliedIn;
    private double closeFrom;
    private double leaveBy;

    Daemon(NodeConfiguration node) throws IOException {
        this.node = node;
        int toWorkers = (node.sockets - RESERVE) / WORKER_SHARE;
        int toClients = node.sockets - RESERVE - toWorkers;
        loop = new Loop();
        scheduler = new Scheduler(loop, node, (int) (TASK_SHARE * toClients), toWorkers);
        door = new Door(loop, node.listen, toClients, scheduler);
    }

    /** Where the configuration of the process comes from. */
    interface Source {
        NodeConfiguration read() throws ConfigurationException;
    }

    /** Serves until it is told to stop; returns the exit code. */
    public static int serve(Map<String, String> environment) {
        return serve(() -> NodeConfiguration.read(environment), d -> { },
            d -> d.loop.enter(() -> d.reload(environment)));
    }

    /** The same with a configuration from elsewhere, a step before it begins, and what SIGHUP does. */
    static int serve(Source source, Consumer<Daemon> before, Consumer<Daemon> hangup) {
        CompletableFuture<Daemon> made = new CompletableFuture<>();
        onHangup(() -> made.thenAccept(hangup));
        try {
            Daemon daemon = new Daemon(source.read());
            before.accept(daemon);
            made.complete(daemon);
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
            daemon.loop.enter(daemon::begin);
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

    /** On SIGHUP: `discovery` takes effect; a file that can't be used changes nothing. */
    void reload(Map<String, String> environment) {
        try {
            NodeConfiguration read = NodeConfiguration.read(environment);
            Set<String> changed = node.differences(read);
            changed.remove("discovery");
            LOG.atInfo().addKeyValue("discovery", read.discovery).addKeyValue("kept", changed)
                .log("config.reloaded");
            scheduler.follow(read.discovery);
        } catch (ConfigurationException e) {
            LOG.atError().addKeyValue("why", e.getMessage()).log("config.refused");
        }
    }

    void begin() {
        try {
            scheduler.begin(node.known);
            door.open();
            LOG.atInfo().addKeyValue("name", node.name).addKeyValue("at", Address.text(node.listen))
                .log("serving");
            summarise();
        } catch (BadMessage e) {
            LOG.atError().addKeyValue("why", "known is " + e.getMessage()).log("config.fault");
            exitCode = 2;
            ended.countDown();
        }
    }

    private void summarise() {
        LoggingEventBuilder line = LOG.atInfo();
        scheduler.summary(line);
        door.summary(line);
        line.addKeyValue("latest_timer_ms", Math.round(loop.latestSince())).log("summary");
        loop.after(SUMMARY_EVERY, this::summarise);
    }

    /** On SIGTERM, from the virtual machine's own thread: it ends when this returns. */
    private void stop() {
        loop.enter(this::leave);
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void leave() {
        LOG.atInfo().addKeyValue("in_hand", scheduler.unanswered()).log("leaving");
        double within = STILL_COMING + Math.min(LONGEST, node.deployment.longestExpiry) - SPARE;
        closeFrom = loop.now() + KEPT * within;
        leaveBy = loop.now() + within;
        door.leave();
        loop.after(STILL_COMING, () -> lookForEnd(loop.now()));
    }

    /** Guards what is in hand: call-backs must get in until the last task has its answer. */
    void lookForEnd(double now) {
        boolean closing = now >= closeFrom;
        if (closing) {
            door.closeIdle();
        }
        int unanswered = scheduler.unanswered();
        if (unanswered > 0 && now >= leaveBy) {
            LOG.atWarn().addKeyValue("tasks", unanswered).log("leaving.abandons");
            scheduler.abandonAll();
            unanswered = 0;
        }
        if (unanswered == 0 && (closing || door.connections() == 0)) {
            door.shut();
        }
        if (unanswered == 0 && door.connections() == 0) {
            LoggingEventBuilder line = LOG.atInfo();
            scheduler.summary(line);
            line.log("left");
            ended.countDown();
        } else {
            loop.after(LOOK_EVERY, () -> lookForEnd(loop.now()));
        }
    }
}
