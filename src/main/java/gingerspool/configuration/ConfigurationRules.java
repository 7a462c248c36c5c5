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
        Set<String> services = new HashSet<>();
        for (Service service : configuration.getServicesList()) {
            if (service.getName().isEmpty() || !services.add(service.getName())) {
                throw new InvalidConfigurationException(
                        "Services: \"" + service.getName() + "\" stands twice or has no Name");
            }
        }
        Set<String> names = new HashSet<>();
        Map<String, String> places = new HashMap<>();
        for (Route route : configuration.getRoutesList()) {
            String at = "Routes: \"" + route.getName() + "\" ";
            if (route.getName().isEmpty() || !names.add(route.getName())) {
                throw new InvalidConfigurationException(at + "stands twice or has no Name");
            }
            if (!services.contains(route.getService())) {
                throw new InvalidConfigurationException(
                        at + "names Service \"" + route.getService() + "\", which isn't there");
            }
            if (route.hasTimeout() && route.getTimeout() <= 0) {
                throw new InvalidConfigurationException(at + "has TimeoutMs " + route.getTimeout());
            }
            String other =
                    places.put(
                            RouteTable.host(route.getHost()) + " " + route.getPrefix(),
                            route.getName());
            if (other != null) {
                throw new InvalidConfigurationException(
                        at + "has the HostName and PathPrefix of \"" + other + "\"");
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
                    if (field.getValue() instanceof List<?> parts && weighsNothing(parts)) {
                        throw new InvalidConfigurationException(
                                "Routes: \"%s\" has weights in %s that sum to 0"
                                        .formatted(fields.get("Name"), field.getKey()));
                    }
                }
            }
        }
    }

    private static boolean weighsNothing(List<?> parts) {
        double sum = 0;
        for (Object part : parts) {
            if (!(JsonTree.at(part, "Weight") instanceof Number weight)) {
                return false;
            }
            sum += weight.doubleValue();
        }
        return !parts.isEmpty() && sum <= 0;
    }
}
