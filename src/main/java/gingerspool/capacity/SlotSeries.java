package gingerspool.capacity;

import gingerspool.autoscaler.Autoscaler;
import gingerspool.capacity.Series.Medium;
import gingerspool.codec.Messages;
import gingerspool.slots.Function;
import gingerspool.slots.Instance;
import gingerspool.slots.SlotAllocator;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the leader's slot keeper and scaler cost, by schedulers, functions, instances and slots. */
final class SlotSeries {
    private static final double INTERVAL = 1200;
    private static final int SLOTS = 4;
    private static final double RUN = 20;
    private static final int FIXED_FUNCTIONS = 500;
    private static final String ZONE = "zone-a";

    /** The keeper gives nothing at first; by then it does. */
    private static final double SETTLED = INTERVAL;

    private final Scale scale;
    private Messages.SlotGrant granted;
    private long requests;

    SlotSeries(Scale scale) {
        this.scale = scale;
    }

    List<Series> measure() throws Exception {
        List<Series> all = new ArrayList<>();
        addHeaps(all);
        addKeeperTimes(all);
        addTicks(all);
        return all;
    }

    private void addHeaps(List<Series> all) throws Exception {
        all.add(
                heap(
                        "keeper.heap.scheduler",
                        "keeper's heap by schedulers",
                        "scheduler",
                        this::registered));
        all.add(
                heap(
                        "keeper.heap.function",
                        "keeper's heap by functions",
                        "function",
                        this::functions));
        all.add(
                heap(
                        "keeper.heap.instance",
                        "keeper's heap by instances",
                        "instance",
                        this::instances));
        all.add(
                heap(
                        "keeper.heap.held",
                        "keeper's heap by slots held, an instance by up to four schedulers",
                        "held slot",
                        this::held));
        all.add(
                heap(
                        "keeper.heap.demand",
                        "keeper's heap by demands (function and scheduler)",
                        "demand",
                        this::demands));
    }

    private void addKeeperTimes(List<Series> all) throws Exception {
        all.add(
                time(
                        "keeper.cycle.instances",
                        "a slot given and returned, by instances of the function",
                        "instance of the function",
                        new int[] {25, 50, 100, 200, 400, 800},
                        n -> cycle(1, n, 1)));
        all.add(
                time(
                        "keeper.cycle.schedulers",
                        "a slot given and returned, by schedulers that call the function",
                        "scheduler that calls",
                        new int[] {25, 50, 100, 200, 400, 800},
                        n -> cycle(1, 25, n)));
        all.add(
                time(
                        "keeper.cycle.functions",
                        "a slot given and returned, by functions",
                        "function",
                        new int[] {1000, 2000, 4000, 8000, 16000},
                        n -> cycle(n, 1, 1)));
        all.add(
                time(
                        "keeper.holdings",
                        "one scheduler's report of what it holds compared, by instances",
                        "instance",
                        new int[] {2000, 4000, 8000, 16000, 32000},
                        this::holdings));
        all.add(
                time(
                        "keeper.register",
                        "one scheduler registered, by instances",
                        "instance",
                        new int[] {2000, 4000, 8000, 16000, 32000},
                        this::register));
    }

    private void addTicks(List<Series> all) throws Exception {
        all.add(
                time(
                        "keeper.tick",
                        "a tick of the keeper, by functions with a demand",
                        "function",
                        new int[] {1000, 2000, 4000, 8000, 16000},
                        this::keeperTick));
        all.add(
                time(
                        "scaler.tick.functions",
                        "a tick of the scaler, by functions with one instance each",
                        "function",
                        new int[] {1000, 2000, 4000, 8000, 16000},
                        n -> scalerTick(n, n)));
        all.add(
                time(
                        "scaler.tick.instances",
                        "a tick of the scaler, by instances of " + FIXED_FUNCTIONS + " functions",
                        "instance",
                        new int[] {1000, 2000, 4000, 8000, 16000},
                        n -> scalerTick(Math.min(n, FIXED_FUNCTIONS), n)));
    }

    private Series heap(String key, String what, String per, HeapOf of) throws Exception {
        return Series.measure(
                key,
                what,
                "B",
                per,
                Medium.MEMORY,
                scale,
                new int[] {2000, 4000, 8000, 16000, 32000},
                (n, seed) -> Meter.heapOf(() -> of.make(n)));
    }

    private Series time(String key, String what, String per, int[] sizes, TimeOf of)
            throws Exception {
        return Series.measure(
                key, what, "us", per, Medium.MEMORY, scale, sizes, (n, seed) -> of.micros(n));
    }

    private interface HeapOf {
        Object make(int size) throws Exception;
    }

    private interface TimeOf {
        double micros(int size) throws Exception;
    }

    private SlotAllocator allocator() {
        return new SlotAllocator(
                INTERVAL,
                0,
                (scheduler, message) -> {
                    if (message instanceof Messages.SlotGrant grant) {
                        granted = grant;
                    }
                });
    }

    private static String scheduler(int number) {
        return "front-" + number;
    }

    private static void register(SlotAllocator allocator, int number) {
        allocator.onRegister(
                0, scheduler(number), new Messages.Register(scheduler(number), ZONE, 0, Map.of()));
    }

    private SlotAllocator registered(int schedulers) {
        SlotAllocator allocator = allocator();
        for (int i = 0; i < schedulers; i++) {
            register(allocator, i);
        }
        return allocator;
    }

    private SlotAllocator functions(int count) {
        SlotAllocator allocator = allocator();
        for (int i = 0; i < count; i++) {
            Function f = allocator.catalog().findOrAdd("fn-" + i);
            f.startTime = 500;
            f.concurrency = SLOTS;
            f.memoryMb = 128;
            f.targetLatency = 400;
            f.isRouted = true;
        }
        return allocator;
    }

    /** Instances spread over the functions. */
    private SlotAllocator instances(int functions, int count) {
        SlotAllocator allocator = functions(functions);
        List<Function> all = List.copyOf(allocator.catalog().all());
        for (int i = 0; i < count; i++) {
            allocator.addInstance(
                    0,
                    "i-" + i,
                    all.get(i % functions),
                    "10.0.0.1:" + i,
                    ZONE,
                    "host-" + i % 100,
                    SLOTS,
                    Instance.State.READY);
        }
        return allocator;
    }

    private SlotAllocator instances(int count) {
        return instances(1, count);
    }

    /** Each scheduler tells as it registers that it holds one slot of one instance. */
    private SlotAllocator held(int count) {
        SlotAllocator allocator = instances(1, Math.max(1, count / SLOTS));
        for (int i = 0; i < count; i++) {
            Map<String, Integer> one = Map.of("i-" + i / SLOTS, 1);
            allocator.onRegister(
                    0,
                    scheduler(i % 10),
                    new Messages.Register(scheduler(i % 10), ZONE, 0, Map.of()));
            allocator.onHoldings(0, scheduler(i % 10), new Messages.SlotHoldings(0, one));
        }
        return allocator;
    }

    /** Ten schedulers that each have a request in hand of every function. */
    private SlotAllocator demands(int count) {
        int schedulers = 10;
        int functions = Math.max(1, count / schedulers);
        SlotAllocator allocator = functions(functions);
        for (int i = 0; i < schedulers; i++) {
            register(allocator, i);
            for (int k = 0; k < functions; k++) {
                allocator.onDemand(
                        0, scheduler(i), new Messages.SlotDemand("fn-" + k, 0, 0, 1, 1, RUN));
            }
        }
        return allocator;
    }

    /** A request: demand, grant, return, and the demand that says that nothing is lacked. */
    private double cycle(int functions, int instances, int schedulers) throws Exception {
        SlotAllocator allocator = instances(functions, functions * instances);
        for (int i = 0; i < schedulers; i++) {
            register(allocator, i);
            allocator.onDemand(
                    SETTLED, scheduler(i), new Messages.SlotDemand("fn-0", 0, 0, 1, 1, RUN));
        }
        requests = 1;
        return Meter.microsOf(() -> oneCycle(allocator));
    }

    private void oneCycle(SlotAllocator allocator) {
        granted = null;
        long before = requests - 1;
        requests++;
        double now = SETTLED + requests;
        allocator.onDemand(
                now, scheduler(0), new Messages.SlotDemand("fn-0", 1, before, 1, requests, RUN));
        if (granted == null) {
            throw new IllegalStateException("no slot was given");
        }
        allocator.onReturn(
                now,
                scheduler(0),
                new Messages.SlotReturn(granted.instance(), 1, Messages.InstanceCondition.HEALTHY));
        allocator.onDemand(
                now,
                scheduler(0),
                new Messages.SlotDemand("fn-0", 0, before + 1, 0, requests, RUN));
    }

    private double holdings(int instances) throws Exception {
        SlotAllocator allocator = instances(instances);
        register(allocator, 0);
        Messages.SlotHoldings none = new Messages.SlotHoldings(0, Map.of());
        return Meter.microsOf(() -> allocator.onHoldings(0, scheduler(0), none));
    }

    private double register(int instances) throws Exception {
        SlotAllocator allocator = instances(instances);
        return Meter.microsOf(() -> register(allocator, 0));
    }

    private double keeperTick(int functions) throws Exception {
        SlotAllocator allocator = instances(functions, functions);
        register(allocator, 0);
        for (int i = 0; i < functions; i++) {
            allocator.onDemand(
                    SETTLED, scheduler(0), new Messages.SlotDemand("fn-" + i, 0, 0, 1, 1, RUN));
        }
        return Meter.microsOf(() -> allocator.tick(SETTLED));
    }

    private double scalerTick(int functions, int instances) throws Exception {
        SlotAllocator allocator = instances(functions, instances);
        Autoscaler autoscaler = new Autoscaler(allocator, 0, 1000, "p-", 0, new NoActions());
        autoscaler.beginHosts();
        for (int i = 0; i < 100; i++) {
            autoscaler.addHost("host-" + i, ZONE, 7000, 0, true);
        }
        autoscaler.endHosts();
        autoscaler.instancesListed();
        return Meter.microsOf(() -> autoscaler.tick(SETTLED));
    }

    /** A platform that is never asked for anything. */
    private static final class NoActions implements Autoscaler.Actions {
        @Override
        public void start(Function function, String host, String nonce) {}

        @Override
        public void stop(String instance) {}

        @Override
        public void drain(Instance instance) {}
    }
}
