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
    private static final double HEARTBEAT = 1000;
    private final List<Messages.SlotGrant> grants = new ArrayList<>();
    private final List<String> recalled = new ArrayList<>();
    private final Map<String, Integer> held = new HashMap<>();
    private final Map<String, Long> granted = new HashMap<>();
    private final SlotAllocator allocator =
            new SlotAllocator(
                    HEARTBEAT,
                    0,
                    (front, message) -> {
                        if (message instanceof Messages.SlotGrant g) {
                            grants.add(g);
                            held.merge(front + " " + g.instance(), g.slots(), Integer::sum);
                            granted.merge(front, 1L, Long::sum);
                        } else {
                            recalled.add(front);
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
        for (String front : List.of("a", "b", "c")) {
            allocator.onRegister(0, front, new Messages.Register(front, "z" + front, 0, Map.of()));
        }
    }

    private static Messages.SlotDemand want(int lacks, long granted, int inHand) {
        return new Messages.SlotDemand("f", lacks, granted, inHand, 0, 50);
    }

    /** Whatever schedulers ask and give back, no instance has more slots in hands than it has. */
    @Test
    public void neverGivesASlotTwice() {
        prepare();
        SplittableRandom chance = new SplittableRandom(7);
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
            String front = List.of("a", "b", "c").get(chance.nextInt(3));
            int before = grants.size();
            if (chance.nextBoolean()) {
                // What it says of grants may be old: some were still on their way to it.
                long knows = Math.max(0, granted.getOrDefault(front, 0L) - chance.nextInt(2));
                allocator.onDemand(now, front, want(chance.nextInt(4), knows, 3));
            } else {
                String id = "i" + chance.nextInt(3);
                int has = held.getOrDefault(front + " " + id, 0);
                int some = Math.min(has, 1 + chance.nextInt(2));
                held.put(front + " " + id, has - some);
                allocator.onReturn(
                        now,
                        front,
                        new Messages.SlotReturn(id, some, Messages.InstanceCondition.HEALTHY));
            }
            for (Messages.SlotGrant g : grants.subList(before, grants.size())) {
                assertEquals(g.slots(), 1);
            }
            for (int i = 0; i < 3; i++) {
                int sum = 0;
                for (String f : List.of("a", "b", "c")) {
                    sum += held.getOrDefault(f + " i" + i, 0);
                }
                assertTrue(
                        sum <= 2,
                        "instance " + i + " has " + sum + " slots in hands at step " + step);
            }
        }
        assertTrue(grants.size() > 1000);
    }

    @Test
    public void aNewKeeperWaitsForWhatIsHeldAndRecallsForThoseWhoLack() {
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
        allocator.onDemand(3, "b", want(1, 0, 1));
        assertEquals(grants.size(), 0, "nothing before schedulers had the time to enrol");
        allocator.tick(600);
        assertEquals(grants.size(), 0, "both slots are a's");
        allocator.onDemand(601, "a", want(0, 0, 0));
        allocator.tick(650);
        assertEquals(recalled, List.of("a"));
        allocator.onReturn(
                660, "a", new Messages.SlotReturn("i0", 1, Messages.InstanceCondition.HEALTHY));
        assertEquals(grants.size(), 1);
    }

    /**
     * A new keeper is told of a slot, and gets it back, before it has read the list of instances.
     */
    @Test
    public void whatComesBackBeforeItsInstanceIsKnownIsNotHeldForEver() {
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
        allocator.onDemand(601, "b", want(2, 0, 2));
        assertEquals(grants.size(), 2);
    }

    @Test
    public void wantsThatCrossGrantsAreNotServedTwice() {
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
        allocator.onDemand(601, "a", want(1, 0, 1));
        allocator.onDemand(602, "a", want(1, 0, 1));
        assertEquals(grants.size(), 1, "said before the grant had come");
        allocator.onDemand(603, "a", want(1, 1, 2));
        assertEquals(grants.size(), 2);
    }

    @Test
    public void aStartingInstanceIsKnockedAtByWhoLacksAndThenOpenToAll() {
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
        allocator.onDemand(601, "a", want(1, 0, 1));
        assertEquals(grants.size(), 1);
        assertTrue(grants.get(0).startsIn() > 400);
        allocator.onReturn(
                1100, "a", new Messages.SlotReturn("i0", 0, Messages.InstanceCondition.STARTED));
        allocator.onDemand(1101, "b", want(1, 0, 1));
        assertEquals(grants.get(1).startsIn(), 0.0);
        allocator.onReturn(
                1200,
                "b",
                new Messages.SlotReturn("i0", 1, Messages.InstanceCondition.UNREACHABLE));
        allocator.onDemand(1201, "c", want(1, 0, 1));
        assertEquals(grants.size(), 2, "nobody is sent to one that was not reached just now");
    }
}
