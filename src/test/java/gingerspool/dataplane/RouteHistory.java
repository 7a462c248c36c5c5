package gingerspool.dataplane;

import gingerspool.configuration.Configuration;
import gingerspool.configuration.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which service each route led to at what time, as an account of its own beside the code under
 * test. Times are in milliseconds of the simulation.
 */
final class RouteHistory {
    /** The services by route, in force from this time until the next entry's. */
    private record Entry(double from, Map<String, String> serviceByRoute) {}

    private final List<Entry> entries = new ArrayList<>();

    /** This configuration is in force from now on. */
    void add(double now, Configuration configuration) {
        Map<String, String> serviceByRoute = new HashMap<>();
        for (Route route : configuration.getRoutesList()) {
            serviceByRoute.put(route.getName(), route.getService());
        }
        entries.add(new Entry(now, serviceByRoute));
    }

    /** Whether the route led to the service at some time of this span. */
    boolean mayLeadTo(String route, String service, double from, double to) {
        return servicesBetween(route, from, to).contains(service);
    }

    /** Whether the route was missing at some time of this span. */
    boolean mayBeMissing(String route, double from, double to) {
        return servicesBetween(route, from, to).contains(null);
    }

    private List<String> servicesBetween(String route, double from, double to) {
        List<String> services = new ArrayList<>();
        for (int i = 0; i < entries.size(); i++) {
            boolean endsBefore = i + 1 < entries.size() && entries.get(i + 1).from < from;
            if (!endsBefore && entries.get(i).from <= to) {
                services.add(entries.get(i).serviceByRoute.get(route));
            }
        }
        return services;
    }
}
