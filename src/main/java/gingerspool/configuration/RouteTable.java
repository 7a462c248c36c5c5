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
    private final Map<String, List<Route>> byHost = new HashMap<>();

    /** The routes of a configuration, which may be empty. */
    public RouteTable(Configuration configuration) {
        for (Route r : configuration.getRoutesList()) {
            byHost.computeIfAbsent(host(r.getHost()), k -> new ArrayList<>()).add(r);
        }
        for (List<Route> routes : byHost.values()) {
            routes.sort(Comparator.comparingInt((Route r) -> r.getPrefix().length()).reversed());
        }
    }

    /** A host as routes name it: in lower case, without a port. */
    static String host(String text) {
        int colon = text.lastIndexOf(':');
        return (colon < 0 ? text : text.substring(0, colon)).toLowerCase(Locale.ROOT);
    }

    /** The route, or null. */
    public Route find(String host, String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (Route r : byHost.getOrDefault(host(host), List.of())) {
            if (path.startsWith(r.getPrefix())) {
                return r;
            }
        }
        return null;
    }
}
