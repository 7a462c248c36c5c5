package gingerspool.dataplane;

import gingerspool.configuration.Configuration;
import gingerspool.configuration.Limits;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/**
 * Configurations for {@link DataPlaneSimulation}: routes of both kinds with 1 to 3 attempts, whose
 * names and prefixes say both. Their services, settings and presence may be drawn at random.
 */
final class RouteConfigurations {
    static final String FIRST_SERVICE = "f";
    static final String SECOND_SERVICE = "h";
    static final int SLOTS_PER_INSTANCE = 2;

    /** The longest time-out of any route. */
    static final long MAX_TIMEOUT_MS = 1200;

    private static final int MAX_ATTEMPTS = 3;
    private static final long AIM_MS = 150;

    private RouteConfigurations() {}

    /** All routes lead to the first service. */
    static Configuration fixed() {
        Configuration.Builder builder = withLimits(1).addServices(service(FIRST_SERVICE));
        for (String kind : List.of("safe", "unsafe")) {
            for (int attempts = 1; attempts <= MAX_ATTEMPTS; attempts++) {
                builder.addRoutes(route(kind, attempts).setService(FIRST_SERVICE));
            }
        }
        return builder.build();
    }

    /**
     * Each route leads to a random service or, unless `hasAll`, is missing; a service without
     * routes may be missing as well.
     */
    static Configuration random(SplittableRandom random, long version, boolean hasAll) {
        Configuration.Builder builder = withLimits(version);
        Set<String> services = new TreeSet<>();
        for (String kind : List.of("safe", "unsafe")) {
            for (int attempts = 1; attempts <= MAX_ATTEMPTS; attempts++) {
                String service = random.nextBoolean() ? FIRST_SERVICE : SECOND_SERVICE;
                if (hasAll || random.nextInt(4) > 0) {
                    services.add(service);
                    builder.addRoutes(
                            route(kind, attempts)
                                    .setService(service)
                                    .setAim(AIM_MS * (1 + random.nextInt(3)))
                                    .setTimeout(MAX_TIMEOUT_MS / (1 + random.nextInt(2))));
                }
            }
        }
        for (String service : List.of(FIRST_SERVICE, SECOND_SERVICE)) {
            if (services.contains(service) || random.nextBoolean()) {
                builder.addServices(service(service));
            }
        }
        return builder.build();
    }

    private static Configuration.Builder withLimits(long version) {
        return Configuration.newBuilder()
                .setVersion(version)
                .setLimits(
                        Limits.newBuilder()
                                .setHeaderBytes(16_384)
                                .setBodyBytes(65_536)
                                .setHeaderTimeout(3000)
                                .setIdleTimeout(15_000));
    }

    private static Service service(String name) {
        return Service.newBuilder()
                .setName(name)
                .setBoot(100)
                .setConcurrency(SLOTS_PER_INSTANCE)
                .setMemory(128)
                .build();
    }

    private static Route.Builder route(String kind, int attempts) {
        return Route.newBuilder()
                .setName(kind + attempts)
                .setHost("h.example")
                .setPrefix("/" + kind + attempts + "/")
                .setKind(kind)
                .setAttempts(attempts)
                .setTimeout(MAX_TIMEOUT_MS)
                .setAim(AIM_MS);
    }
}
