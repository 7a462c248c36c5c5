package gingerspool.controlplane;

import gingerspool.autoscaler.Autoscaler;
import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.settings.NodeSettings;
import gingerspool.slots.Function;
import gingerspool.slots.Instance;
import gingerspool.slots.SlotAllocator;
import gingerspool.wire.EventLoop;
import gingerspool.wire.JsonTree;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The work that only the leader of a term does: granting slots to schedulers, starting and stopping
 * instances, and feeding the platform's lists to the allocator and the autoscaler.
 *
 * <p>Created and ended by {@link Leadership}, once per term; the term is the fencing token of calls
 * to the platform. Each action checks first that the lease still holds. Runs on the event loop.
 */
final class LeaderDuties
        implements Autoscaler.Actions,
                SlotAllocator.Messenger,
                SchedulerRegistry.SchedulerListener,
                PlatformListReader.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderDuties.class);

    private static final double TICK_INTERVAL_MS = 50;

    /**
     * A draining instance that was never listed is removed this long after it began to drain, in
     * multiples of the platform's list delay.
     */
    private static final double UNLISTED_TIMEOUT_LIST_DELAYS = 2;

    private final EventLoop loop;
    private final NodeSettings settings;
    private final long term;
    private final BooleanSupplier holdsLease;
    private final BiConsumer<String, Object> send;
    private final Consumer<Object> sendToAll;
    private final PlatformListReader listReader;
    private final InstanceCalls instanceCalls;
    final SlotAllocator allocator;
    private final Autoscaler autoscaler;
    private boolean isEnded;

    /** When the previous complete list of instances was requested, in milliseconds. */
    private double previousListAt = Double.NEGATIVE_INFINITY;

    /**
     * {@code send} sends a message to the registered scheduler of this name, {@code sendToAll} to
     * all registered schedulers.
     */
    LeaderDuties(
            EventLoop loop,
            NodeSettings settings,
            Platform platform,
            long term,
            BooleanSupplier holdsLease,
            BiConsumer<String, Object> send,
            Consumer<Object> sendToAll) {
        this.loop = loop;
        this.settings = settings;
        this.term = term;
        this.holdsLease = holdsLease;
        this.send = send;
        this.sendToAll = sendToAll;
        listReader = new PlatformListReader(loop, settings, platform, this::mayAct, this);
        instanceCalls = new InstanceCalls(loop, settings, platform, term, this::mayAct);
        allocator = new SlotAllocator(settings.heartbeatInterval, loop.now(), this);
        autoscaler =
                new Autoscaler(
                        allocator,
                        settings.startStopRate,
                        settings.platformListDelay,
                        term + "-" + settings.name + "-",
                        loop.now(),
                        this);
        listReader.read();
        tick();
    }

    void end() {
        isEnded = true;
        listReader.end();
        instanceCalls.end();
    }

    void onConfigurationChanged(Configuration configuration) {
        allocator.configure(configuration);
    }

    private boolean mayAct() {
        return !isEnded && holdsLease.getAsBoolean();
    }

    private void tick() {
        if (isEnded) {
            return;
        }
        if (mayAct()) {
            allocator.tick(loop.now());
            autoscaler.tick(loop.now());
        }
        loop.schedule(TICK_INTERVAL_MS, this::tick);
    }

    // ---- Schedulers ----

    @Override
    public void onRegistered(String scheduler, Messages.Register message) {
        allocator.onRegister(loop.now(), scheduler, message);
        // Guards against grants of draining instances that the scheduler still holds: it may have
        // been disconnected, or registered with another leader, when their withdrawal was sent.
        List<String> draining =
                allocator.instances().stream()
                        .filter(instance -> instance.state == Instance.State.DRAINING)
                        .map(instance -> instance.id)
                        .toList();
        if (!draining.isEmpty()) {
            send(scheduler, new Messages.InstanceWithdrawal(draining));
        }
    }

    @Override
    public void onMessage(String scheduler, Object message) {
        double now = loop.now();
        if (message instanceof Messages.SlotDemand m) {
            allocator.onDemand(now, scheduler, m);
        } else if (message instanceof Messages.SlotReturn m) {
            allocator.onReturn(now, scheduler, m);
        } else if (message instanceof Messages.SlotHoldings m
                && !allocator.onHoldings(now, scheduler, m)) {
            LOG.warn("scheduler.slots_diverged scheduler={}", scheduler);
        }
    }

    @Override
    public void onDisconnected(String scheduler) {
        allocator.onDisconnect(loop.now(), scheduler);
    }

    // ---- The platform's lists ----

    @Override
    public void hostsListed(List<?> hosts) {
        autoscaler.beginHosts();
        for (Object host : hosts) {
            autoscaler.addHost(
                    JsonTree.text("", host, "Name"),
                    JsonTree.text("", host, "Zone"),
                    JsonTree.number(0, host, "MemoryMb"),
                    JsonTree.number(0, host, "FreeMemoryMb"),
                    JsonTree.text("", host, "State").equals("ready"));
        }
        autoscaler.endHosts();
    }

    @Override
    public void instancesListed(List<Object> entries, double requestedAt) {
        Set<String> withdrawnIds = new HashSet<>();
        for (Object entry : entries) {
            String id = JsonTree.text("", entry, "Identifier");
            if (!id.isEmpty() && recordEntry(entry, id, requestedAt)) {
                withdrawnIds.add(id);
            }
        }
        for (Instance instance : allocator.instances()) {
            if (isGone(instance)) {
                withdrawnIds.add(instance.id);
                allocator.removeInstance(loop.now(), instance);
            }
        }
        if (!withdrawnIds.isEmpty()) {
            sendToAll.accept(new Messages.InstanceWithdrawal(List.copyOf(withdrawnIds)));
        }
        previousListAt = requestedAt;
        autoscaler.instancesListed();
    }

    /**
     * Updates the instance from its list entry; returns whether the instance was found to be
     * draining for the first time.
     */
    private boolean recordEntry(Object entry, String id, double requestedAt) {
        double now = loop.now();
        Instance existing = allocator.instance(id);
        Instance instance = existing != null ? existing : addListed(entry, id);
        instance.listedAt = requestedAt;
        if (JsonTree.text("", entry, "State").equals("ready")) {
            allocator.markReady(now, instance);
            return false;
        }
        if (instance.state == Instance.State.DRAINING) {
            return false;
        }
        allocator.markDraining(now, instance);
        return true;
    }

    private Instance addListed(Object entry, String id) {
        return allocator.addInstance(
                loop.now(),
                id,
                allocator.catalog().findOrAdd(JsonTree.text("", entry, "Service")),
                JsonTree.text("", entry, "Address"),
                JsonTree.text("", entry, "Zone"),
                JsonTree.text("", entry, "Worker"),
                (int) JsonTree.number(1, entry, "ConcurrencySlots"),
                Instance.State.STARTING);
    }

    /**
     * Whether the instance no longer exists. Guards against entries that move between pages while
     * the list is read: an instance must be missing from two lists in a row.
     */
    private boolean isGone(Instance instance) {
        boolean isMissingTwice = instance.listedAt < previousListAt;
        double unlistedDeadline =
                instance.drainingSince + UNLISTED_TIMEOUT_LIST_DELAYS * settings.platformListDelay;
        return isMissingTwice || Double.isNaN(instance.listedAt) && loop.now() > unlistedDeadline;
    }

    // ---- Actions of the allocator and the autoscaler ----

    @Override
    public void start(Function function, String host, String nonce) {
        instanceCalls.start(
                function.name,
                host,
                nonce,
                new InstanceCalls.StartListener() {
                    @Override
                    public void started(String instance, String address) {
                        autoscaler.started(loop.now(), nonce, instance, address);
                    }

                    @Override
                    public void failed(boolean isHostFull) {
                        autoscaler.startFailed(loop.now(), nonce, isHostFull);
                    }
                });
    }

    @Override
    public void stop(String instance) {
        instanceCalls.stop(instance);
    }

    @Override
    public void drain(Instance instance) {
        allocator.markDraining(loop.now(), instance);
        sendToAll.accept(new Messages.InstanceWithdrawal(List.of(instance.id)));
    }

    @Override
    public void send(String scheduler, Object message) {
        send.accept(scheduler, message);
    }

    /**
     * Guards against granting a slot twice: without the lease another leader may grant the same
     * slots.
     */
    @Override
    public boolean mayGrant() {
        return mayAct();
    }

    // ---- For operators ----

    void logSummary() {
        LOG.info(
                "duty term={} functions={} schedulers={} {} {}",
                term,
                allocator.catalog().all().size(),
                allocator.connectedSchedulers(),
                instanceCalls.counters(),
                allocator.usage());
    }
}
