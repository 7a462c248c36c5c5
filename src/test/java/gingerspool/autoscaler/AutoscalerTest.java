package gingerspool.autoscaler;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import gingerspool.slots.Function;
import gingerspool.slots.Instance;
import gingerspool.slots.SlotAllocator;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AutoscalerTest {
    private SlotAllocator allocator;
    private Autoscaler autoscaler;
    private final List<String> starts = new ArrayList<>();
    private final List<String> nonces = new ArrayList<>();
    private final List<String> stops = new ArrayList<>();

    @BeforeMethod
    public void setUp() {
        starts.clear();
        nonces.clear();
        stops.clear();
        allocator = new SlotAllocator(1000, 0, (scheduler, message) -> {});
        allocator.configure(
                Configuration.newBuilder()
                        .addServices(
                                Service.newBuilder()
                                        .setName("busy")
                                        .setBoot(1400)
                                        .setConcurrency(4)
                                        .setMemory(512))
                        .addServices(
                                Service.newBuilder()
                                        .setName("rare")
                                        .setBoot(500)
                                        .setConcurrency(1)
                                        .setMemory(128))
                        .addRoutes(Route.newBuilder().setService("busy").setAim(300))
                        .addRoutes(Route.newBuilder().setService("rare").setAim(1500))
                        .build());
        autoscaler =
                new Autoscaler(
                        allocator,
                        100,
                        800,
                        "n-",
                        0,
                        new Autoscaler.Actions() {
                            @Override
                            public void start(Function function, String host, String nonce) {
                                starts.add(function.name + " on " + host);
                                nonces.add(nonce);
                            }

                            @Override
                            public void stop(String instance) {
                                stops.add(instance);
                            }

                            @Override
                            public void drain(Instance i) {
                                allocator.markDraining(0, i);
                            }
                        });
    }

    /** Two hosts that are ready and one that is not, with this free memory each. */
    private void listHosts(double freeMemoryMb) {
        autoscaler.beginHosts();
        autoscaler.addHost("h1", "za", 4096, freeMemoryMb, true);
        autoscaler.addHost("h2", "zb", 4096, freeMemoryMb, true);
        autoscaler.addHost("h3", "zb", 4096, freeMemoryMb, false);
        autoscaler.endHosts();
        autoscaler.instancesListed();
    }

    /** The only scheduler registers and reports its demand. */
    private void demand(String function, int missing, int inFlight, double time) {
        allocator.onRegister(time, "a", new Messages.Register("a", "zb", 0, Map.of()));
        allocator.onDemand(
                time, "a", new Messages.SlotDemand(function, missing, 0, inFlight, inFlight, 60));
    }

    @Test
    public void startsNothingBeforeTheListsAreKnown() {
        demand("rare", 1, 1, 600);
        autoscaler.tick(600);
        assertEquals(starts.size(), 0, "instances may be running that are not listed yet");
        listHosts(4096);
        autoscaler.tick(650);
        assertTrue(
                starts.contains("rare on h2"),
                starts + ": expected a ready host in the zone of the scheduler that misses slots");
        assertTrue(
                starts.stream().anyMatch(s -> s.startsWith("busy")),
                "its latency target is shorter than a start");
    }

    @Test
    public void startsOneInstanceForAMissingSlotAndStopsItWhenIdle() {
        listHosts(4096);
        demand("rare", 1, 1, 600);
        for (int i = 0; i < 10; i++) {
            autoscaler.tick(650 + 50 * i);
        }
        assertEquals(starts.stream().filter(s -> s.startsWith("rare")).count(), 1);
        int rare = starts.indexOf("rare on h2");
        autoscaler.started(1200, nonces.get(rare), "i1", "10.0.0.1:1");
        allocator.markReady(1700, allocator.instance("i1"));
        demand("rare", 0, 0, 1710);
        autoscaler.tick(1750);
        assertEquals(stops.size(), 0, "one request within a second: the next one may come soon");
        allocator.tick(2500);
        autoscaler.tick(2500);
        assertEquals(stops, List.of("i1"));
    }

    /**
     * The last instance is kept if the next request is expected within the idle time that costs as
     * much as a start; otherwise it is stopped.
     */
    @Test(dataProvider = "gaps")
    public void keepsTheLastInstanceIfTheNextRequestIsExpectedSoon(double gap, boolean isKept) {
        listHosts(4096);
        double now = 600;
        allocator.onRegister(now, "a", new Messages.Register("a", "zb", 0, Map.of()));
        allocator.addInstance(
                now,
                "i1",
                allocator.catalog().find("rare"),
                "10.0.0.1:1",
                "zb",
                "h2",
                1,
                Instance.State.READY);
        int arrived = 0;
        for (double nextArrivalAt = now; now < 20_000; now += 50) {
            boolean arrives = now >= nextArrivalAt;
            arrived += arrives ? 1 : 0;
            nextArrivalAt += arrives ? gap : 0;
            allocator.onDemand(
                    now,
                    "a",
                    new Messages.SlotDemand("rare", 0, arrived, arrives ? 1 : 0, arrived, 60));
            allocator.tick(now);
            autoscaler.tick(now);
        }
        assertEquals(stops.isEmpty(), isKept, "interarrival time " + gap);
    }

    @DataProvider
    Object[][] gaps() {
        return new Object[][] {{300, true}, {1000, true}, {3000, false}, {9000, false}};
    }

    /**
     * Guards against a surplus that is never retired: load is spread over all instances, so that
     * none of them is ever idle.
     */
    @Test
    public void retiresSurplusEvenIfNoInstanceIsIdle() {
        listHosts(4096);
        allocator.onRegister(
                600, "a", new Messages.Register("a", "zb", 0, Map.of("b0", 1, "b1", 1, "b2", 1)));
        for (int i = 0; i < 3; i++) {
            allocator.addInstance(
                    600,
                    "b" + i,
                    allocator.catalog().find("busy"),
                    "10.0.0.1:1",
                    "zb",
                    "h2",
                    4,
                    Instance.State.READY);
        }
        for (double now = 650; now < 650 + 4 * 1400; now += 50) {
            allocator.tick(now);
            autoscaler.tick(now);
        }
        List<Instance> draining =
                allocator.instances().stream()
                        .filter(i -> i.state == Instance.State.DRAINING)
                        .toList();
        assertEquals(
                draining.size(),
                2,
                "one is kept, since the latency target is shorter than a start");
        assertEquals(stops.size(), 0, "schedulers still hold slots of them");
        Instance first = draining.get(0);
        allocator.onReturn(
                7000,
                "a",
                new Messages.SlotReturn(first.id, 1, Messages.InstanceCondition.HEALTHY));
        autoscaler.tick(7000);
        assertEquals(stops, List.of(first.id));
    }

    /**
     * The service time of a function without any completed request is estimated from functions of
     * the same size class, so that its first request causes a single start.
     */
    @Test
    public void firstRequestOfAFunctionStartsOneInstance() {
        listHosts(4096);
        allocator.configure(
                Configuration.newBuilder()
                        .addServices(
                                Service.newBuilder()
                                        .setName("rare")
                                        .setBoot(500)
                                        .setConcurrency(1)
                                        .setMemory(128))
                        .addServices(
                                Service.newBuilder()
                                        .setName("new")
                                        .setBoot(500)
                                        .setConcurrency(1)
                                        .setMemory(128))
                        .addRoutes(Route.newBuilder().setService("rare").setAim(1000))
                        .addRoutes(Route.newBuilder().setService("new").setAim(1000))
                        .build());
        demand("rare", 0, 0, 600);
        allocator.onDemand(700, "a", new Messages.SlotDemand("new", 1, 0, 1, 1, 0));
        autoscaler.tick(700);
        assertEquals(starts.stream().filter(s -> s.startsWith("new")).count(), 1);
    }

    /**
     * Guards against requests that nobody starts an instance for, since their function has lost its
     * routes while they wait; without such requests nothing is started or kept.
     */
    @Test
    public void aFunctionWithoutRoutesGetsWhatItsWaitingRequestsNeed() {
        listHosts(4096);
        demand("rare", 1, 1, 600);
        allocator.configure(Configuration.getDefaultInstance());
        for (double now = 650; now < 1650; now += 50) {
            autoscaler.tick(now);
        }
        assertEquals(starts, List.of("rare on h2"));
        autoscaler.started(1650, nonces.get(0), "i1", "10.0.0.1:1");
        allocator.markReady(1700, allocator.instance("i1"));
        demand("rare", 0, 0, 1750);
        for (double now = 1750; now < 4000; now += 50) {
            allocator.tick(now);
            autoscaler.tick(now);
        }
        assertEquals(starts.size(), 1);
        assertEquals(stops, List.of("i1"));
    }

    /** A single request, even if it runs for long, is no reason to start further instances. */
    @Test
    public void rareSlowRequestStartsOneInstance() {
        allocator.configure(
                Configuration.newBuilder()
                        .addServices(
                                Service.newBuilder()
                                        .setName("slow")
                                        .setBoot(300)
                                        .setConcurrency(1)
                                        .setMemory(128))
                        .addRoutes(Route.newBuilder().setService("slow").setAim(4000))
                        .build());
        listHosts(4096);
        allocator.onRegister(600, "a", new Messages.Register("a", "zb", 0, Map.of()));
        for (double now = 0; now < 15_000; now += 50) {
            allocator.tick(now);
        }
        allocator.onDemand(15_000, "a", new Messages.SlotDemand("slow", 1, 0, 1, 1, 1500));
        for (double now = 15_000; now < 15_400; now += 50) {
            allocator.tick(now);
            autoscaler.tick(now);
        }
        assertEquals(starts.stream().filter(s -> s.startsWith("slow")).count(), 1);
    }

    /** Frequent requests get spare instances if these cost less than the starts they avoid. */
    @Test
    public void frequentFunctionHasSpareSlotsThoughAStartMeetsItsTarget() {
        listHosts(4096);
        allocator.onRegister(0, "a", new Messages.Register("a", "zb", 0, Map.of()));
        for (int i = 1; i <= 100; i++) {
            // 20 requests per second with a service time of 60 ms keep 1.2 slots in use.
            allocator.onDemand(50 * i, "a", new Messages.SlotDemand("rare", 0, 0, 1, i, 60));
            allocator.tick(50 * i);
            autoscaler.tick(50 * i);
        }
        long rare = starts.stream().filter(s -> s.startsWith("rare")).count();
        assertTrue(rare >= 2 && rare <= 4, rare + " instances");
    }

    @Test
    public void skipsFullHostsAndRespectsTheCallRate() {
        listHosts(200);
        demand("rare", 30, 30, 600);
        autoscaler.tick(650);
        assertEquals(
                starts.stream().filter(s -> s.startsWith("rare")).count(),
                2,
                "one fits on each host");
        autoscaler.startFailed(700, nonces.get(0), true);
        autoscaler.tick(750);
        assertEquals(starts.size(), 2, "the host has no room");
        listHosts(4096);
        autoscaler.tick(760);
        assertTrue(
                starts.size() <= 2 + 8 + 2,
                starts.size() + " starts within 110 ms at 80 calls per second");
    }

    @Test
    public void waitProbabilitiesFollowErlangC() {
        assertEquals(ErlangDelay.probabilityOfWaitOver(1, 0.5, 0), 0.5, 1e-9);
        assertEquals(ErlangDelay.probabilityOfWaitOver(2, 1, 0), 1.0 / 3, 1e-9);
        assertEquals(ErlangDelay.probabilityOfWaitOver(2, 1, 2), Math.exp(-2) / 3, 1e-9);
        assertEquals(ErlangDelay.probabilityOfWaitOver(2, 2, 5), 1.0);
    }
}
