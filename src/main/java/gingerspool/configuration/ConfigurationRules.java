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
    static void check(Configuration c) throws InvalidConfigurationException {
        Set<String> services = new HashSet<>();
        for (Service s : c.getServicesList()) {
            if (s.getName().isEmpty() || !services.add(s.getName())) {
                throw new InvalidConfigurationException(
                        "Services: \"" + s.getName() + "\" stands twice or has no Name");
            }
        }
        Set<String> names = new HashSet<>();
        Map<String, String> places = new HashMap<>();
        for (Route r : c.getRoutesList()) {
            String at = "Routes: \"" + r.getName() + "\" ";
            if (r.getName().isEmpty() || !names.add(r.getName())) {
                throw new InvalidConfigurationException(at + "stands twice or has no Name");
            }
            if (!services.contains(r.getService())) {
                throw new InvalidConfigurationException(
                        at + "names Service \"" + r.getService() + "\", which isn't there");
            }
            if (r.hasTimeout() && r.getTimeout() <= 0) {
                throw new InvalidConfigurationException(at + "has TimeoutMs " + r.getTimeout());
            }
            String other =
                    places.put(RouteTable.host(r.getHost()) + " " + r.getPrefix(), r.getName());
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
