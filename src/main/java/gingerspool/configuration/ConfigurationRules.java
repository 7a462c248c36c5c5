package gingerspool.configuration;

import gingerspool.wire.JsonTree;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The rules that each accepted configuration keeps; an exception names the item that breaks one.
 */
final class ConfigurationRules {
    private ConfigurationRules() {}

    /** The rules that any configuration keeps. */
    static void check(Configuration configuration) throws InvalidConfigurationException {
        Set<String> serviceNames = new HashSet<>();
        for (Service service : configuration.getServicesList()) {
            if (service.getName().isEmpty() || !serviceNames.add(service.getName())) {
                throw new InvalidConfigurationException(
                        "Services: \"" + service.getName() + "\" stands twice or has no Name");
            }
        }
        Set<String> routeNames = new HashSet<>();
        Map<String, String> routesByHostAndPrefix = new HashMap<>();
        for (Route route : configuration.getRoutesList()) {
            String routeLabel = "Routes: \"" + route.getName() + "\" ";
            if (route.getName().isEmpty() || !routeNames.add(route.getName())) {
                throw new InvalidConfigurationException(routeLabel + "stands twice or has no Name");
            }
            if (!serviceNames.contains(route.getService())) {
                throw new InvalidConfigurationException(
                        routeLabel
                                + "names Service \""
                                + route.getService()
                                + "\", which isn't there");
            }
            if (route.hasTimeout() && route.getTimeout() <= 0) {
                throw new InvalidConfigurationException(
                        routeLabel + "has TimeoutMs " + route.getTimeout());
            }
            String conflictingRoute =
                    routesByHostAndPrefix.put(
                            RouteTable.normalizedHost(route.getHost()) + " " + route.getPrefix(),
                            route.getName());
            if (conflictingRoute != null) {
                throw new InvalidConfigurationException(
                        routeLabel
                                + "has the HostName and PathPrefix of \""
                                + conflictingRoute
                                + "\"");
            }
        }
    }

    /**
     * Where a route is split over a list, the weights in it must not sum to 0. Routes of today's
     * sites name one service, so no field of our own has weights.
     */
    static void checkWeights(Map<String, Object> tree) throws InvalidConfigurationException {
        for (Object route : JsonItems.list(tree.get("Routes"), "Routes")) {
            if (route instanceof Map<?, ?> fields) {
                for (Map.Entry<?, ?> field : fields.entrySet()) {
                    if (field.getValue() instanceof List<?> entries
                            && hasZeroTotalWeight(entries)) {
                        throw new InvalidConfigurationException(
                                "Routes: \"%s\" has weights in %s that sum to 0"
                                        .formatted(fields.get("Name"), field.getKey()));
                    }
                }
            }
        }
    }

    private static boolean hasZeroTotalWeight(List<?> entries) {
        double sum = 0;
        for (Object entry : entries) {
            if (!(JsonTree.at(entry, "Weight") instanceof Number weight)) {
                return false;
            }
            sum += weight.doubleValue();
        }
        return !entries.isEmpty() && sum <= 0;
    }
}
