package gingerspool.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Finds a request's route: among those of its host, the one with the longest prefix of its path.
 */
public final class RouteTable {
    private final Map<String, List<Route>> routesByHost = new HashMap<>();

    /** The routes of a configuration, which may be empty. */
    public RouteTable(Configuration configuration) {
        for (Route route : configuration.getRoutesList()) {
            routesByHost
                    .computeIfAbsent(normalizedHost(route.getHost()), key -> new ArrayList<>())
                    .add(route);
        }
        for (List<Route> routes : routesByHost.values()) {
            routes.sort(
                    Comparator.comparingInt((Route route) -> route.getPrefix().length())
                            .reversed());
        }
    }

    /** A host as routes name it: in lower case, without a port. */
    static String normalizedHost(String text) {
        int colon = text.lastIndexOf(':');
        return (colon < 0 ? text : text.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /** The route, or null. */
    public Route find(String host, String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (Route route : routesByHost.getOrDefault(normalizedHost(host), List.of())) {
            if (path.startsWith(route.getPrefix())) {
                return route;
            }
        }
        return null;
    }
}
