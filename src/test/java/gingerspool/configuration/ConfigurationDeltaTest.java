package gingerspool.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Applying a delta gives exactly the version that it was computed for, or an error. */
public class ConfigurationDeltaTest {
    private static Route route(int name, int timeout) {
        return Route.newBuilder()
                .setName("r" + name)
                .setHost("h" + name + ".example")
                .setPrefix("/")
                .setTimeout(timeout)
                .setService("s" + name)
                .build();
    }

    private static Service service(int name, int boot) {
        return Service.newBuilder().setName("s" + name).setBoot(boot).build();
    }

    /** A random later version with some items changed, added or removed, in another order. */
    private static Configuration next(Configuration base, Random random) {
        List<Route> routes = new ArrayList<>(base.getRoutesList());
        List<Service> services = new ArrayList<>(base.getServicesList());
        routes.removeIf(r -> random.nextInt(8) == 0);
        services.removeIf(s -> random.nextInt(8) == 0);
        for (int i = 0; i < random.nextInt(4); i++) {
            int name = random.nextInt(20);
            routes.removeIf(r -> r.getName().equals("r" + name));
            services.removeIf(s -> s.getName().equals("s" + name));
            routes.add(route(name, 1 + random.nextInt(3)));
            services.add(service(name, random.nextInt(3)));
        }
        Collections.shuffle(routes, random);
        Configuration.Builder next =
                Configuration.newBuilder()
                        .setVersion(base.getVersion() + 1 + random.nextInt(3))
                        .addAllRoutes(routes)
                        .addAllServices(services);
        if (random.nextInt(3) > 0) {
            next.setLimits(Limits.newBuilder().setBodyBytes(random.nextInt(3)));
        }
        return next.build();
    }

    private static ConfigurationChanges delta(Configuration base, Configuration target) {
        return ConfigurationDelta.between(base, target, ConfigurationChecksum.of(target));
    }

    @Test
    public void deltaLeadsFromAnyVersionToALaterOne() throws Exception {
        for (int seed = 0; seed < 100; seed++) {
            Random random = new Random(seed);
            List<Configuration> versions = new ArrayList<>();
            versions.add(Configuration.getDefaultInstance());
            for (int i = 0; i < 12; i++) {
                versions.add(next(versions.get(i), random));
            }
            Configuration target = versions.get(12);
            for (Configuration base : versions) {
                Configuration result = ConfigurationDelta.apply(base, delta(base, target));
                assertEquals(result.getVersion(), target.getVersion());
                assertEquals(ConfigurationChecksum.of(result), ConfigurationChecksum.of(target));
                assertEquals(
                        List.copyOf(sortedItems(result)),
                        List.copyOf(sortedItems(target)),
                        "seed " + seed);
            }
        }
    }

    private static List<String> sortedItems(Configuration configuration) {
        List<String> items = new ArrayList<>();
        configuration.getRoutesList().forEach(r -> items.add(r.toString()));
        configuration.getServicesList().forEach(s -> items.add(s.toString()));
        items.add(configuration.getLimits().toString());
        Collections.sort(items);
        return items;
    }

    /** The delta is applied to another version, or to a damaged copy of its base. */
    @Test
    public void deltaForAnotherBaseIsRejected() {
        Random random = new Random(1);
        Configuration first = next(next(Configuration.getDefaultInstance(), random), random);
        Configuration second = next(first, random);
        Configuration third = next(second, random);
        assertThrows(
                DeltaMismatchException.class,
                () -> ConfigurationDelta.apply(first, delta(second, third)));
        Configuration damaged = first.toBuilder().addRoutes(route(99, 7)).build();
        assertThrows(
                DeltaMismatchException.class,
                () -> ConfigurationDelta.apply(damaged, delta(first, third)));
    }

    /** The delta is truncated at each byte, and each of its bits is flipped. */
    @Test
    public void corruptedDeltaNeverGivesAnotherConfiguration() {
        Random random = new Random(2);
        Configuration base = next(next(Configuration.getDefaultInstance(), random), random);
        Configuration target = next(base, random);
        byte[] sent = delta(base, target).toByteArray();
        assertTrue(sent.length > 20);
        for (int position = 0; position < sent.length; position++) {
            verifyTargetOrError(base, target, Arrays.copyOf(sent, position));
            for (int bit = 0; bit < Byte.SIZE; bit++) {
                byte[] changed = sent.clone();
                changed[position] ^= (byte) (1 << bit);
                verifyTargetOrError(base, target, changed);
            }
        }
    }

    private static void verifyTargetOrError(
            Configuration base, Configuration target, byte[] received) {
        try {
            Configuration result =
                    ConfigurationDelta.apply(base, ConfigurationChanges.parseFrom(received));
            assertEquals(result.getVersion(), target.getVersion());
            assertEquals(sortedItems(result), sortedItems(target));
        } catch (InvalidProtocolBufferException | DeltaMismatchException e) {
            // Allowed: the scheduler then requests a complete copy.
        }
    }

    @Test
    public void checksumDependsOnTheItemsButNotOnTheirOrder() {
        Configuration original =
                Configuration.newBuilder()
                        .setVersion(3)
                        .addRoutes(route(1, 1))
                        .addRoutes(route(2, 1))
                        .build();
        Configuration reordered =
                original.toBuilder().setRoutes(0, route(2, 1)).setRoutes(1, route(1, 1)).build();
        Configuration other = original.toBuilder().setRoutes(1, route(2, 2)).build();
        long checksum = ConfigurationChecksum.of(original);
        assertEquals(ConfigurationChecksum.of(reordered), checksum);
        assertNotEquals(ConfigurationChecksum.of(other), checksum);
        assertNotEquals(
                ConfigurationChecksum.of(original.toBuilder().setVersion(4).build()), checksum);
    }

    @Test
    public void historyGivesDeltasFromKeptVersionsOnly() throws Exception {
        ConfigurationHistory history = new ConfigurationHistory();
        Random random = new Random(3);
        Configuration.Builder large = Configuration.newBuilder().setVersion(1);
        for (int i = 0; i < 200; i++) {
            large.addRoutes(route(i, 5)).addServices(service(i, 5));
        }
        List<Configuration> versions = new ArrayList<>(List.of(large.build()));
        for (int i = 0; i < 300; i++) {
            Configuration last = versions.get(i);
            versions.add(
                    last.toBuilder()
                            .setVersion(last.getVersion() + 2)
                            .setRoutes(random.nextInt(200), route(1000 + i, 1))
                            .build());
        }
        versions.forEach(history::add);
        Configuration target = versions.get(300);
        assertEquals(history.version(), target.getVersion());
        assertEquals(Configuration.parseFrom(history.copy()), target);
        Configuration knownVersion = versions.get(299);
        byte[] delta = history.deltaFrom(knownVersion.getVersion()).orElseThrow();
        assertTrue(delta.length < history.copy().length / 20, delta.length + " bytes");
        assertEquals(
                ConfigurationChecksum.of(
                        ConfigurationDelta.apply(
                                knownVersion, ConfigurationChanges.parseFrom(delta))),
                history.checksum());
        assertTrue(history.deltaFrom(versions.get(200).getVersion()).isPresent());
        assertTrue(history.deltaFrom(1).isEmpty(), "too old");
        assertTrue(history.deltaFrom(2).isEmpty(), "never added");
        history.add(versions.get(250));
        assertTrue(
                history.deltaFrom(versions.get(249).getVersion()).isEmpty(),
                "earlier versions are dropped if the state went back");
    }
}
