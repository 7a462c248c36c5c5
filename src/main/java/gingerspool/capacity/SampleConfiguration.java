package gingerspool.capacity;

import gingerspool.configuration.Configuration;
import gingerspool.configuration.ConfigurationState;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.StringJoiner;

/** Configurations of any number of functions, each a service with one route, drawn by a seed. */
public final class SampleConfiguration {
    /** So many functions share a host name. */
    private static final int FUNCTIONS_A_HOST = 10;

    private final long seed;

    public SampleConfiguration(long seed) {
        this.seed = seed;
    }

    public String function(int number) {
        long mixed = new SplittableRandom(seed + number).nextLong() >>> 40;
        return String.format(Locale.ROOT, "fn-%06d-%06x", number, mixed);
    }

    private String service(int number, int bootMs) {
        return "{\"Name\":\""
                + function(number)
                + "\",\"HealthPath\":null,\"ConnectionLimit\":24,\"MemoryMb\":128,\"BootMs\":"
                + bootMs
                + ",\"MaxConcurrency\":4}";
    }

    private String route(int number, int functions) {
        String name = function(number);
        return "{\"Name\":\"r-"
                + name
                + "\",\"HostName\":\"h"
                + number / FUNCTIONS_A_HOST
                + ".example\",\"PathPrefix\":\"/"
                + name
                + "/\",\"RouteKind\":\"safe\",\"TimeoutMs\":5000,\"TargetLatencyMs\":400,"
                + "\"Priority\":2,\"Service\":\""
                + function(number % functions)
                + "\",\"MaxAttempts\":2}";
    }

    /** A whole configuration as an operator sends it. */
    public byte[] whole(long version, int functions) {
        return whole(version, functions, functions);
    }

    /** The same with any number of routes, spread over the functions. */
    public byte[] whole(long version, int functions, int allRoutes) {
        StringJoiner services = new StringJoiner(",");
        StringJoiner routes = new StringJoiner(",");
        for (int i = 0; i < functions; i++) {
            services.add(service(i, 500));
        }
        for (int i = 0; i < allRoutes; i++) {
            routes.add(route(i, functions));
        }
        return ("{\"Version\":"
                        + version
                        + ",\"Routes\":["
                        + routes
                        + "],\"Services\":["
                        + services
                        + "]}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** A change of one function's service. */
    public byte[] change(long version, int functions) {
        int number = (int) (version % functions);
        return ("{\"Version\":"
                        + version
                        + ",\"Upserts\":{\"Services\":["
                        + service(number, (int) (500 + version % 100))
                        + "]}}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /** The state after the whole configuration was taken as version 1. */
    public ConfigurationState state(int functions) {
        return state(functions, functions);
    }

    /** The same with any number of routes. */
    public ConfigurationState state(int functions, int routes) {
        ConfigurationState state = new ConfigurationState();
        ConfigurationState.Verdict verdict = state.apply(true, 0, whole(1, functions, routes));
        if (verdict.status() != ConfigurationState.ACCEPTED) {
            throw new IllegalStateException(verdict.text());
        }
        return state;
    }

    public Configuration typed(int functions) {
        return state(functions).configuration();
    }
}
