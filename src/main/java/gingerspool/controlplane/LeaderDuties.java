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
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * What the leader of a term does alone: reads the platform's lists, keeps the slots, starts and
 * stops instances. The term's number is the fence. Every call asks first whether the lease still
 * holds. Ends with the term.
 */
final class LeaderDuties
        implements Autoscaler.Actions, SlotAllocator.Messenger, SchedulerRegistry.Slots {
    private static final Logger LOG = LogManager.getLogger(LeaderDuties.class);
    private static final double TICK = 50;

    /**
     * Lists are read so often, in parts of how late they are, within a part of the platform's rate.
     */
    private static final double POLL = 0.5;

    private static final double RATE = 0.5;

    private static final int TRIES = 4;

    private final EventLoop turns;
    private final NodeSettings settings;
    private final long term;
    private final BooleanSupplier holds;
    private final BiConsumer<String, Object> send;
    private final Consumer<Object> sendToAll;
    private final Platform platform;
    final SlotAllocator allocator;
    private final Autoscaler autoscaler;
    private boolean ended;
    private double hostsAt;

    /** When the list before this one was asked for. */
    private double listedBefore = Double.NEGATIVE_INFINITY;

    long starts;
    long stops;
    long refusals;

    LeaderDuties(
            EventLoop turns,
            NodeSettings settings,
            Platform platform,
            long term,
            BooleanSupplier holds,
            BiConsumer<String, Object> send,
            Consumer<Object> sendToAll) {
        this.turns = turns;
        this.settings = settings;
        this.term = term;
        this.holds = holds;
        this.send = send;
        this.sendToAll = sendToAll;
        this.platform = platform;
        allocator = new SlotAllocator(settings.beat, turns.now(), this);
        autoscaler =
                new Autoscaler(
                        allocator,
                        settings.dutyRate,
                        settings.cloudLag,
                        term + "-" + settings.name + "-",
                        turns.now(),
                        this);
        list();
        tick();
    }

    void end() {
        ended = true;
    }

    void configured(Configuration c) {
        allocator.configure(c);
    }

    // ---- Schedulers ----

    @Override
    public void registered(String scheduler, Messages.Register message) {
        allocator.onRegister(turns.now(), scheduler, message);
        // Guards one that was with nobody, or another leader, as these were seen to leave.
        List<String> leaving =
                allocator.instances().stream()
                        .filter(i -> i.state == Instance.State.DRAINING)
                        .map(i -> i.id)
                        .toList();
        if (!leaving.isEmpty()) {
            send(scheduler, new Messages.InstanceWithdrawal(leaving));
        }
    }

    @Override
    public void received(String scheduler, Object message) {
        double now = turns.now();
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
    public void lost(String scheduler) {
        allocator.onDisconnect(turns.now(), scheduler);
    }

    private boolean mayAct() {
        return !ended && holds.getAsBoolean();
    }

    private void tick() {
        if (ended) {
            return;
        }
        if (mayAct()) {
            allocator.tick(turns.now());
            autoscaler.tick(turns.now());
        }
        turns.after(TICK, this::tick);
    }

    // ---- The platform's lists ----

    private void list() {
        if (ended) {
            return;
        }
        if (!mayAct()) {
            turns.after(TICK, this::list);
            return;
        }
        double asked = turns.now();
        platform.instances(
                all -> {
                    int calls = 1;
                    if (all != null && !ended) {
                        listed(all, asked);
                        calls = 1 + all.size() / 100;
                    }
                    double pause =
                            Math.max(
                                    POLL * settings.cloudLag,
                                    1000 * calls / (RATE * settings.cloudRate));
                    turns.after(pause, this::list);
                });
        if (asked >= hostsAt) {
            hostsAt = asked + settings.cloudLag;
            platform.hosts(
                    a -> {
                        if (a.status() == 200
                                && JsonTree.at(a.tree(), "Workers") instanceof List<?> l
                                && !ended) {
                            hosts(l);
                        }
                    });
        }
    }

    private void hosts(List<?> all) {
        autoscaler.beginHosts();
        for (Object h : all) {
            autoscaler.addHost(
                    JsonTree.text("", h, "Name"),
                    JsonTree.text("", h, "Zone"),
                    JsonTree.number(0, h, "MemoryMb"),
                    JsonTree.number(0, h, "FreeMemoryMb"),
                    JsonTree.text("", h, "State").equals("ready"));
        }
        autoscaler.endHosts();
    }

    private void listed(List<Object> all, double asked) {
        double now = turns.now();
        Set<String> leave = new HashSet<>();
        for (Object e : all) {
            String id = JsonTree.text("", e, "Identifier");
            boolean ready = JsonTree.text("", e, "State").equals("ready");
            Instance i = allocator.instance(id);
            if (i == null && !id.isEmpty()) {
                i =
                        allocator.addInstance(
                                now,
                                id,
                                allocator.catalog().findOrAdd(JsonTree.text("", e, "Service")),
                                JsonTree.text("", e, "Address"),
                                JsonTree.text("", e, "Zone"),
                                JsonTree.text("", e, "Worker"),
                                (int) JsonTree.number(1, e, "ConcurrencySlots"),
                                Instance.State.STARTING);
            }
            if (i != null) {
                i.listedAt = asked;
                if (!ready && i.state != Instance.State.DRAINING) {
                    leave.add(id);
                    allocator.markDraining(now, i);
                } else if (ready) {
                    allocator.markReady(now, i);
                }
            }
        }
        for (Instance i : allocator.instances()) {
            // Guards against pages that shift while they are read: it must be missing twice.
            boolean wasListed = i.listedAt < listedBefore;
            boolean left =
                    Double.isNaN(i.listedAt) && now > i.drainingSince + 2 * settings.cloudLag;
            if (wasListed || left) {
                leave.add(i.id);
                allocator.removeInstance(now, i);
            }
        }
        if (!leave.isEmpty()) {
            sendToAll.accept(new Messages.InstanceWithdrawal(List.copyOf(leave)));
        }
        listedBefore = asked;
        autoscaler.instancesListed();
    }

    // ---- Starts, stops ----

    @Override
    public void start(Function f, String host, String nonce) {
        starts++;
        start(f, host, nonce, 1);
    }

    private void start(Function f, String host, String nonce, int tries) {
        platform.start(
                settings.name,
                term,
                f.name,
                host,
                nonce,
                a -> {
                    double now = turns.now();
                    String id = JsonTree.text("", a.tree(), "Identifier");
                    if (ended) {
                        return;
                    }
                    if (a.status() == 200 && !id.isEmpty()) {
                        autoscaler.started(now, nonce, id, JsonTree.text("", a.tree(), "Address"));
                    } else if ((a.status() == 0 || a.status() >= 500) && tries < TRIES) {
                        // It may have been carried out: the same nonce gives the same instance.
                        again(
                                () -> start(f, host, nonce, tries + 1),
                                () -> autoscaler.startFailed(turns.now(), nonce, false));
                    } else {
                        refusals++;
                        autoscaler.startFailed(now, nonce, a.status() == 409);
                    }
                });
    }

    @Override
    public void stop(String instance) {
        stops++;
        stop(instance, 1);
    }

    private void stop(String instance, int tries) {
        platform.stop(
                settings.name,
                term,
                instance,
                a -> {
                    if (a.status() != 200 && a.status() != 404 && tries < TRIES && !ended) {
                        again(() -> stop(instance, tries + 1), () -> {});
                    }
                });
    }

    /** Tries it once more after a pause, if the lease still holds then. */
    private void again(Runnable call, Runnable orElse) {
        turns.after(TICK, () -> (mayAct() ? call : orElse).run());
    }

    @Override
    public void drain(Instance i) {
        allocator.markDraining(turns.now(), i);
        sendToAll.accept(new Messages.InstanceWithdrawal(List.of(i.id)));
    }

    @Override
    public void send(String scheduler, Object message) {
        send.accept(scheduler, message);
    }

    /** Guards slots: without the lease another leader may grant the same ones. */
    @Override
    public boolean mayGrant() {
        return mayAct();
    }

    void log() {
        LOG.info(
                "duty term={} functions={} schedulers={} starts={} stops={} refused={} {}",
                term,
                allocator.catalog().all().size(),
                allocator.connectedSchedulers(),
                starts,
                stops,
                refusals,
                allocator.usage());
    }
}
