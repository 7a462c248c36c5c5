package gingerspool.configuration;

import gingerspool.wire.JsonTree;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The rules that a configuration must satisfy to be accepted. Each exception names the item that
 * violates a rule.
 */
final class ConfigurationRules {
    private ConfigurationRules() {}

    /** Checks names, references, timeouts and ambiguous routes. */
    static void check(Configuration configuration) throws InvalidConfigurationException {
        Set<String> serviceNames = new HashSet<>();
        for (Service service : configuration.getServicesList()) {
            if (service.getName().isEmpty() || !serviceNames.add(service.getName())) {
                throw new InvalidConfigurationException(
                        "Services: \"" + service.getName() + "\" is a duplicate or has no Name");
            }
        }
        Set<String> routeNames = new HashSet<>();
        Map<String, String> routesByHostAndPrefix = new HashMap<>();
        for (Route route : configuration.getRoutesList()) {
            String routeLabel = "Routes: \"" + route.getName() + "\" ";
            if (route.getName().isEmpty() || !routeNames.add(route.getName())) {
                throw new InvalidConfigurationException(
                        routeLabel + "is a duplicate or has no Name");
            }
            if (!serviceNames.contains(route.getService())) {
                throw new InvalidConfigurationException(
                        routeLabel
                                + "refers to Service \""
                                + route.getService()
                                + "\", which is not defined");
            }
            if (route.hasTimeout() && route.getTimeout() <= 0) {
                throw new InvalidConfigurationException(
                        routeLabel + "must have a positive TimeoutMs, not " + route.getTimeout());
            }
            String conflictingRoute =
                    routesByHostAndPrefix.put(
                            RouteTable.normalizedHost(route.getHost()) + " " + route.getPrefix(),
                            route.getName());
            if (conflictingRoute != null) {
                throw new InvalidConfigurationException(
                        routeLabel
                                + "has the same HostName and PathPrefix as \""
                                + conflictingRoute
                                + "\"");
            }
        }
    }

    /**
     * Checks that the weights of a split route do not sum to 0. The schema has no field for
     * weights, since a route names a single service; therefore every list of an unknown field whose
     * entries all have a Weight counts as a split.
     */
    static void checkWeights(Map<String, Object> json) throws InvalidConfigurationException {
        for (Object route : JsonItems.list(json.get("Routes"), "Routes")) {
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
