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

/** A delta leads to just the version that it was made for, or to an error. */
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

    /** A later version: some items changed, added or removed, in another order. */
    private static Configuration next(Configuration base, Random chance) {
        List<Route> routes = new ArrayList<>(base.getRoutesList());
        List<Service> services = new ArrayList<>(base.getServicesList());
        routes.removeIf(r -> chance.nextInt(8) == 0);
        services.removeIf(s -> chance.nextInt(8) == 0);
        for (int i = 0; i < chance.nextInt(4); i++) {
            int name = chance.nextInt(20);
            routes.removeIf(r -> r.getName().equals("r" + name));
            services.removeIf(s -> s.getName().equals("s" + name));
            routes.add(route(name, 1 + chance.nextInt(3)));
            services.add(service(name, chance.nextInt(3)));
        }
        Collections.shuffle(routes, chance);
        Configuration.Builder next =
                Configuration.newBuilder()
                        .setVersion(base.getVersion() + 1 + chance.nextInt(3))
                        .addAllRoutes(routes)
                        .addAllServices(services);
        if (chance.nextInt(3) > 0) {
            next.setLimits(Limits.newBuilder().setBodyBytes(chance.nextInt(3)));
        }
        return next.build();
    }

    private static ConfigurationChanges delta(Configuration base, Configuration newest) {
        return ConfigurationDelta.between(base, newest, ConfigurationChecksum.of(newest));
    }

    @Test
    public void leadsFromAnyVersionToAnyLaterOne() throws Exception {
        for (int seed = 0; seed < 100; seed++) {
            Random chance = new Random(seed);
            List<Configuration> versions = new ArrayList<>();
            versions.add(Configuration.getDefaultInstance());
            for (int i = 0; i < 12; i++) {
                versions.add(next(versions.get(i), chance));
            }
            Configuration newest = versions.get(12);
            for (Configuration base : versions) {
                Configuration made = ConfigurationDelta.apply(base, delta(base, newest));
                assertEquals(made.getVersion(), newest.getVersion());
                assertEquals(ConfigurationChecksum.of(made), ConfigurationChecksum.of(newest));
                assertEquals(
                        List.copyOf(sorted(made)), List.copyOf(sorted(newest)), "seed " + seed);
            }
        }
    }

    private static List<String> sorted(Configuration configuration) {
        List<String> items = new ArrayList<>();
        configuration.getRoutesList().forEach(r -> items.add(r.toString()));
        configuration.getServicesList().forEach(s -> items.add(s.toString()));
        items.add(configuration.getLimits().toString());
        Collections.sort(items);
        return items;
    }

    /** Onto another version, or onto a copy that is damaged. */
    @Test
    public void anotherBaseIsAnError() {
        Random chance = new Random(1);
        Configuration first = next(next(Configuration.getDefaultInstance(), chance), chance);
        Configuration second = next(first, chance);
        Configuration third = next(second, chance);
        assertThrows(
                DeltaMismatchException.class,
                () -> ConfigurationDelta.apply(first, delta(second, third)));
        Configuration damaged = first.toBuilder().addRoutes(route(99, 7)).build();
        assertThrows(
                DeltaMismatchException.class,
                () -> ConfigurationDelta.apply(damaged, delta(first, third)));
    }

    /** Whatever is lost or changed on its way, what is applied is what was sent. */
    @Test
    public void aDeltaThatIsCutOrChangedAtAnyByteNeverMakesAThirdConfiguration() {
        Random chance = new Random(2);
        Configuration base = next(next(Configuration.getDefaultInstance(), chance), chance);
        Configuration newest = next(base, chance);
        byte[] sent = delta(base, newest).toByteArray();
        assertTrue(sent.length > 20);
        for (int at = 0; at < sent.length; at++) {
            check(base, newest, Arrays.copyOf(sent, at));
            for (int bit = 0; bit < Byte.SIZE; bit++) {
                byte[] changed = sent.clone();
                changed[at] ^= (byte) (1 << bit);
                check(base, newest, changed);
            }
        }
    }

    private static void check(Configuration base, Configuration newest, byte[] received) {
        try {
            Configuration made =
                    ConfigurationDelta.apply(base, ConfigurationChanges.parseFrom(received));
            assertEquals(made.getVersion(), newest.getVersion());
            assertEquals(sorted(made), sorted(newest));
        } catch (InvalidProtocolBufferException | DeltaMismatchException e) {
            // The scheduler then asks for a complete copy.
        }
    }

    @Test
    public void aChecksumKnowsEachItemButNotTheirOrder() {
        Configuration some =
                Configuration.newBuilder()
                        .setVersion(3)
                        .addRoutes(route(1, 1))
                        .addRoutes(route(2, 1))
                        .build();
        Configuration turned =
                some.toBuilder().setRoutes(0, route(2, 1)).setRoutes(1, route(1, 1)).build();
        Configuration other = some.toBuilder().setRoutes(1, route(2, 2)).build();
        long checksum = ConfigurationChecksum.of(some);
        assertEquals(ConfigurationChecksum.of(turned), checksum);
        assertNotEquals(ConfigurationChecksum.of(other), checksum);
        assertNotEquals(ConfigurationChecksum.of(some.toBuilder().setVersion(4).build()), checksum);
    }

    @Test
    public void aHistoryTellsDeltasFromWhatItKnowsAndCopiesElse() throws Exception {
        ConfigurationHistory history = new ConfigurationHistory();
        Random chance = new Random(3);
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
                            .setRoutes(chance.nextInt(200), route(1000 + i, 1))
                            .build());
        }
        versions.forEach(history::add);
        Configuration newest = versions.get(300);
        assertEquals(history.version(), newest.getVersion());
        assertEquals(Configuration.parseFrom(history.copy()), newest);
        Configuration known = versions.get(299);
        byte[] delta = history.deltaFrom(known.getVersion()).orElseThrow();
        assertTrue(delta.length < history.copy().length / 20, delta.length + " bytes");
        assertEquals(
                ConfigurationChecksum.of(
                        ConfigurationDelta.apply(known, ConfigurationChanges.parseFrom(delta))),
                history.checksum());
        assertTrue(history.deltaFrom(versions.get(200).getVersion()).isPresent());
        assertTrue(history.deltaFrom(1).isEmpty(), "too old");
        assertTrue(history.deltaFrom(2).isEmpty(), "never taken");
        history.add(versions.get(250));
        assertTrue(
                history.deltaFrom(versions.get(249).getVersion()).isEmpty(),
                "a state that went back makes what was known void");
    }
}
