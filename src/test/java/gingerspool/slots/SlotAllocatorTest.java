package gingerspool.slots;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.codec.Messages;
import gingerspool.configuration.Configuration;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

public class SlotAllocatorTest {
    private static final double HEARTBEAT_MS = 1000;
    private final List<Messages.SlotGrant> grants = new ArrayList<>();
    private final List<String> recalled = new ArrayList<>();
    private final Map<String, Integer> held = new HashMap<>();
    private final Map<String, Long> granted = new HashMap<>();
    private final SlotAllocator allocator =
            new SlotAllocator(
                    HEARTBEAT_MS,
                    0,
                    (scheduler, message) -> {
                        if (message instanceof Messages.SlotGrant grant) {
                            grants.add(grant);
                            held.merge(
                                    scheduler + " " + grant.instance(),
                                    grant.slots(),
                                    Integer::sum);
                            granted.merge(scheduler, 1L, Long::sum);
                        } else {
                            recalled.add(scheduler);
                        }
                    });

    private void prepare() {
        grants.clear();
        recalled.clear();
        held.clear();
        granted.clear();
        allocator.configure(
                Configuration.newBuilder()
                        .addServices(
                                Service.newBuilder()
                                        .setName("f")
                                        .setBoot(500)
                                        .setConcurrency(2)
                                        .setMemory(128))
                        .addRoutes(Route.newBuilder().setService("f").setAim(1000))
                        .build());
        for (String scheduler : List.of("a", "b", "c")) {
            allocator.onRegister(
                    0, scheduler, new Messages.Register(scheduler, "z" + scheduler, 0, Map.of()));
        }
    }

    private static Messages.SlotDemand demand(int missing, long granted, int inFlight) {
        return new Messages.SlotDemand("f", missing, granted, inFlight, 0, 50);
    }

    /** For random demands and returns, schedulers never hold more slots than an instance has. */
    @Test
    public void neverGrantsASlotTwice() {
        prepare();
        SplittableRandom random = new SplittableRandom(7);
        for (int i = 0; i < 3; i++) {
            allocator.addInstance(
                    600,
                    "i" + i,
                    allocator.catalog().find("f"),
                    "10.0.0.1:1",
                    "za",
                    "h",
                    2,
                    Instance.State.READY);
        }
        for (int step = 0; step < 20_000; step++) {
            double now = 600 + step;
            String scheduler = List.of("a", "b", "c").get(random.nextInt(3));
            int grantsBefore = grants.size();
            if (random.nextBoolean()) {
                // The scheduler may not know its latest grant yet, which is still in transit.
                long reportedGrants =
                        Math.max(0, granted.getOrDefault(scheduler, 0L) - random.nextInt(2));
                allocator.onDemand(now, scheduler, demand(random.nextInt(4), reportedGrants, 3));
            } else {
                String instanceId = "i" + random.nextInt(3);
                int heldSlots = held.getOrDefault(scheduler + " " + instanceId, 0);
                int returnedSlots = Math.min(heldSlots, 1 + random.nextInt(2));
                held.put(scheduler + " " + instanceId, heldSlots - returnedSlots);
                allocator.onReturn(
                        now,
                        scheduler,
                        new Messages.SlotReturn(
                                instanceId, returnedSlots, Messages.InstanceCondition.HEALTHY));
            }
            for (Messages.SlotGrant grant : grants.subList(grantsBefore, grants.size())) {
                assertEquals(grant.slots(), 1);
            }
            for (int i = 0; i < 3; i++) {
                int sum = 0;
                for (String name : List.of("a", "b", "c")) {
                    sum += held.getOrDefault(name + " i" + i, 0);
                }
                assertTrue(
                        sum <= 2, "instance " + i + " has " + sum + " held slots at step " + step);
            }
        }
        assertTrue(grants.size() > 1000);
    }

    @Test
    public void allocatorWaitsForRegistrationsAndRecallsSlots() {
        prepare();
        allocator.onRegister(1, "a", new Messages.Register("a", "za", 0, Map.of("i0", 2)));
        allocator.addInstance(
                2,
                "i0",
                allocator.catalog().find("f"),
                "10.0.0.1:1",
                "za",
                "h",
                2,
                Instance.State.READY);
        allocator.onDemand(3, "b", demand(1, 0, 1));
        assertEquals(grants.size(), 0, "no grants before schedulers had time to register");
        allocator.tick(600);
        assertEquals(grants.size(), 0, "scheduler a holds both slots");
        allocator.onDemand(601, "a", demand(0, 0, 0));
        allocator.tick(650);
        assertEquals(recalled, List.of("a"));
        allocator.onReturn(
                660, "a", new Messages.SlotReturn("i0", 1, Messages.InstanceCondition.HEALTHY));
        assertEquals(grants.size(), 1);
    }

    /**
     * Guards against slots that are never freed: a new allocator learns of slots from a scheduler,
     * and gets them back, before it knows their instance.
     */
    @Test
    public void slotsReturnedBeforeTheirInstanceIsKnownAreFree() {
        prepare();
        allocator.onRegister(1, "a", new Messages.Register("a", "za", 0, Map.of("i0", 2)));
        allocator.onReturn(
                2, "a", new Messages.SlotReturn("i0", 1, Messages.InstanceCondition.HEALTHY));
        allocator.onReturn(
                3, "a", new Messages.SlotReturn("i0", 1, Messages.InstanceCondition.HEALTHY));
        allocator.addInstance(
                600,
                "i0",
                allocator.catalog().find("f"),
                "10.0.0.1:1",
                "za",
                "h",
                2,
                Instance.State.READY);
        allocator.onDemand(601, "b", demand(2, 0, 2));
        assertEquals(grants.size(), 2);
    }

    @Test
    public void repeatedDemandIsNotServedTwice() {
        prepare();
        allocator.addInstance(
                600,
                "i0",
                allocator.catalog().find("f"),
                "10.0.0.1:1",
                "za",
                "h",
                2,
                Instance.State.READY);
        allocator.onDemand(601, "a", demand(1, 0, 1));
        allocator.onDemand(602, "a", demand(1, 0, 1));
        assertEquals(grants.size(), 1, "the demand was sent before the grant arrived");
        allocator.onDemand(603, "a", demand(1, 1, 2));
        assertEquals(grants.size(), 2);
    }

    @Test
    public void grantsFollowTheConditionOfAnInstance() {
        prepare();
        allocator.addInstance(
                600,
                "i0",
                allocator.catalog().find("f"),
                "10.0.0.1:1",
                "za",
                "h",
                2,
                Instance.State.STARTING);
        allocator.onDemand(601, "a", demand(1, 0, 1));
        assertEquals(grants.size(), 1);
        assertTrue(grants.get(0).startsIn() > 400);
        allocator.onReturn(
                1100, "a", new Messages.SlotReturn("i0", 0, Messages.InstanceCondition.STARTED));
        allocator.onDemand(1101, "b", demand(1, 0, 1));
        assertEquals(grants.get(1).startsIn(), 0.0);
        allocator.onReturn(
                1200,
                "b",
                new Messages.SlotReturn("i0", 1, Messages.InstanceCondition.UNREACHABLE));
        allocator.onDemand(1201, "c", demand(1, 0, 1));
        assertEquals(
                grants.size(),
                2,
                "no slot is granted of an instance that was recently unreachable");
    }
}
