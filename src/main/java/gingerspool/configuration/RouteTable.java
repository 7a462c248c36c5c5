package gingerspool.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Finds the route of a request: among the routes of its host, the one whose prefix is the longest
 * that matches its path.
 */
public final class RouteTable {
    /** By normalized host; the routes with the longest prefix come first. */
    private final Map<String, List<Route>> routesByHost = new HashMap<>();

    /** Builds the table of a configuration, which may have no routes. */
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

    /** The host in lower case and without a port. */
    static String normalizedHost(String text) {
        int colon = text.lastIndexOf(':');
        return (colon < 0 ? text : text.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /** The route of a request with this Host header and request target, or null. */
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
