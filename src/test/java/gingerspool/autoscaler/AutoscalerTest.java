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
    public void begin() {
        starts.clear();
        nonces.clear();
        stops.clear();
        allocator = new SlotAllocator(1000, 0, (front, message) -> {});
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
                            public void start(Function f, String host, String nonce) {
                                starts.add(f.name + " on " + host);
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

    private void hosts(double free) {
        autoscaler.beginHosts();
        autoscaler.addHost("h1", "za", 4096, free, true);
        autoscaler.addHost("h2", "zb", 4096, free, true);
        autoscaler.addHost("h3", "zb", 4096, free, false);
        autoscaler.endHosts();
        autoscaler.instancesListed();
    }

    private void demand(String function, int lacks, int inHand, double at) {
        allocator.onRegister(at, "a", new Messages.Register("a", "zb", 0, Map.of()));
        allocator.onDemand(
                at, "a", new Messages.SlotDemand(function, lacks, 0, inHand, inHand, 60));
    }

    @Test
    public void startsNothingBeforeTheListsAreKnown() {
        demand("rare", 1, 1, 600);
        autoscaler.tick(600);
        assertEquals(starts.size(), 0, "instances may be running already");
        hosts(4096);
        autoscaler.tick(650);
        assertTrue(
                starts.contains("rare on h2"),
                starts + ": the zone of those who lack, a host that is ready");
        assertTrue(
                starts.stream().anyMatch(s -> s.startsWith("busy")),
                "its aim is shorter than a start");
    }

    @Test
    public void startsOnceForWhatIsLackedAndStopsWhatIdles() {
        hosts(4096);
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
        assertEquals(stops.size(), 0, "one task in a second: another may well come soon");
        allocator.tick(2500);
        autoscaler.tick(2500);
        assertEquals(stops, List.of("i1"));
    }

    /**
     * The last instance stays where the next task is awaited within what a start is worth, else it
     * goes.
     */
    @Test(dataProvider = "gaps")
    public void theLastInstanceStaysWhereTheNextTaskIsNear(double gap, boolean stays) {
        hosts(4096);
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
        int came = 0;
        for (double next = now; now < 20_000; now += 50) {
            boolean comes = now >= next;
            came += comes ? 1 : 0;
            next += comes ? gap : 0;
            allocator.onDemand(
                    now, "a", new Messages.SlotDemand("rare", 0, came, comes ? 1 : 0, came, 60));
            allocator.tick(now);
            autoscaler.tick(now);
        }
        assertEquals(stops.isEmpty(), stays, "a gap of " + gap);
    }

    @DataProvider
    Object[][] gaps() {
        return new Object[][] {{300, true}, {1000, true}, {3000, false}, {9000, false}};
    }

    /** Load is spread over all instances: one that is too many goes although none is ever idle. */
    @Test
    public void aSurplusIsRetiredWhereNoneIsIdle() {
        hosts(4096);
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
        List<Instance> leaving =
                allocator.instances().stream()
                        .filter(i -> i.state == Instance.State.DRAINING)
                        .toList();
        assertEquals(leaving.size(), 2, "one is wanted, for its aim is shorter than a start");
        assertEquals(stops.size(), 0, "they have work");
        Instance first = leaving.get(0);
        allocator.onReturn(
                7000,
                "a",
                new Messages.SlotReturn(first.id, 1, Messages.InstanceCondition.HEALTHY));
        autoscaler.tick(7000);
        assertEquals(stops, List.of(first.id));
    }

    /**
     * What is not known of a function yet, others of its size tell: one start for its first task.
     */
    @Test
    public void aFirstTaskOfAFunctionStartsOneInstance() {
        hosts(4096);
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

    /** A single request, though it runs for long, is no reason to have instances for others. */
    @Test
    public void aRareSlowRequestStartsOneInstance() {
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
        hosts(4096);
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

    /** Frequent requests get instances that stand ready where starts would be dearer. */
    @Test
    public void aFrequentFunctionHasSpareSlotsThoughAStartFitsItsAim() {
        hosts(4096);
        allocator.onRegister(0, "a", new Messages.Register("a", "zb", 0, Map.of()));
        for (int i = 1; i <= 100; i++) {
            // Twenty a second that run for 60 ms: 1.2 slots in use.
            allocator.onDemand(50 * i, "a", new Messages.SlotDemand("rare", 0, 0, 1, i, 60));
            allocator.tick(50 * i);
            autoscaler.tick(50 * i);
        }
        long rare = starts.stream().filter(s -> s.startsWith("rare")).count();
        assertTrue(rare >= 2 && rare <= 4, rare + " instances");
    }

    @Test
    public void aHostWithoutRoomIsPassedOverAndTheRateIsKept() {
        hosts(200);
        demand("rare", 30, 30, 600);
        autoscaler.tick(650);
        assertEquals(
                starts.stream().filter(s -> s.startsWith("rare")).count(),
                2,
                "one fits on each host");
        autoscaler.startFailed(700, nonces.get(0), true);
        autoscaler.tick(750);
        assertEquals(starts.size(), 2, "no room was the answer");
        hosts(4096);
        autoscaler.tick(760);
        assertTrue(starts.size() <= 2 + 8 + 2, starts.size() + " starts in 110 ms at 80 a second");
    }

    @Test
    public void waitsFollowErlang() {
        assertEquals(ErlangDelay.probabilityOfWaitOver(1, 0.5, 0), 0.5, 1e-9);
        assertEquals(ErlangDelay.probabilityOfWaitOver(2, 1, 0), 1.0 / 3, 1e-9);
        assertEquals(ErlangDelay.probabilityOfWaitOver(2, 1, 2), Math.exp(-2) / 3, 1e-9);
        assertEquals(ErlangDelay.probabilityOfWaitOver(2, 2, 5), 1.0);
    }
}
