package gingerspool.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * One version of the configuration in {@link PlatformSoakTest}, with its JSON as operators send it.
 * Immutable; routes are sorted by name. A service may be without routes.
 */
record SoakConfiguration(
        int version,
        SortedMap<String, SoakConfiguration.Route> routes,
        SortedSet<String> services) {
    static final String HOST = "soak.example";

    /** The time that a simulated instance takes to start. */
    static final int BOOT_MS = 600;

    /** The number of requests that a simulated instance runs at once. */
    static final int INSTANCE_SLOTS = 4;

    /** A route of the host, for all paths that begin with the prefix. */
    record Route(String name, String prefix, String service, int timeoutMs) {
        Route withService(String newService) {
            return new Route(name, prefix, newService, timeoutMs);
        }

        Route withTimeout(int newTimeoutMs) {
            return new Route(name, prefix, service, newTimeoutMs);
        }

        private String toJson() {
            return """
            {"Name":"%s","HostName":"%s","PathPrefix":"%s","RouteKind":"safe","TimeoutMs":%d,
            "TargetLatencyMs":1500,"Priority":1,"Service":"%s","MaxAttempts":2}"""
                    .formatted(name, HOST, prefix, timeoutMs, service);
        }
    }

    SoakConfiguration {
        routes = new TreeMap<>(routes);
        services = new TreeSet<>(services);
    }

    /** The route of a request: the one with the longest prefix of its target; null if none. */
    Route find(String target) {
        Route longest = null;
        for (Route route : routes.values()) {
            boolean matches = target.startsWith(route.prefix);
            if (matches && (longest == null || route.prefix.length() > longest.prefix.length())) {
                longest = route;
            }
        }
        return longest;
    }

    /** Whether a request with this target goes to this service. */
    boolean leadsTo(String target, String service) {
        Route route = find(target);
        return route != null && route.service.equals(service);
    }

    /** The body of a call that replaces the whole configuration. */
    String toJson() {
        return """
        {"Version":%d,"Routes":[%s],"Services":[%s],"Limits":{"MaxHeaderBytes":16384,
        "MaxBodyBytes":65536,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"""
                .formatted(version, routesToJson(routes.values()), servicesToJson(services));
    }

    /** The body of a call that changes `base` into this configuration. */
    String changesToJson(SoakConfiguration base) {
        List<Route> changedRoutes = new ArrayList<>(routes.values());
        changedRoutes.removeAll(base.routes.values());
        SortedSet<String> addedServices = new TreeSet<>(services);
        addedServices.removeAll(base.services);
        SortedSet<String> removedRoutes = new TreeSet<>(base.routes.keySet());
        removedRoutes.removeAll(routes.keySet());
        SortedSet<String> removedServices = new TreeSet<>(base.services);
        removedServices.removeAll(services);
        return """
        {"Version":%d,"Upserts":{"Routes":[%s],"Services":[%s]},
        "Removals":{"Routes":[%s],"Services":[%s]}}"""
                .formatted(
                        version,
                        routesToJson(changedRoutes),
                        servicesToJson(addedServices),
                        quoted(removedRoutes),
                        quoted(removedServices));
    }

    private static String routesToJson(Iterable<Route> routes) {
        List<String> items = new ArrayList<>();
        routes.forEach(route -> items.add(route.toJson()));
        return String.join(",", items);
    }

    private static String servicesToJson(SortedSet<String> services) {
        return services.stream()
                .map(
                        name ->
                                """
                                {"Name":"%s","HealthPath":null,"ConnectionLimit":20,"MemoryMb":128,
                                "BootMs":%d,"MaxConcurrency":%d}"""
                                        .formatted(name, BOOT_MS, INSTANCE_SLOTS))
                .collect(Collectors.joining(","));
    }

    private static String quoted(SortedSet<String> names) {
        return names.stream().map(name -> "\"" + name + "\"").collect(Collectors.joining(","));
    }
}
