package gingerspool.slots;

import gingerspool.configuration.Configuration;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * All known functions by name: those of the configuration, and those that the platform has listed
 * instances of. Functions are never removed; one that is no longer configured becomes unrouted.
 * Owned by the allocator and used on its thread only.
 */
public final class FunctionCatalog {
    private final Map<String, Function> functions = new LinkedHashMap<>();
    private final double rateWindow;

    /** The rate window is the short window of the arrival rates, in milliseconds. */
    FunctionCatalog(double rateWindow) {
        this.rateWindow = rateWindow;
    }

    /**
     * Updates the functions from the services and routes of a configuration. Functions that no
     * route refers to are marked unrouted.
     */
    void configure(Configuration configuration) {
        functions.values().forEach(function -> function.isRouted = false);
        for (Service service : configuration.getServicesList()) {
            Function function = findOrAdd(service.getName());
            function.startTime = service.getBoot();
            function.concurrency = Math.max(1, service.getConcurrency());
            function.memoryMb = service.getMemory();
        }
        for (Route route : configuration.getRoutesList()) {
            Function function = functions.get(route.getService());
            double target = route.getAim() > 0 ? route.getAim() : Double.POSITIVE_INFINITY;
            function.targetLatency =
                    function.isRouted ? Math.min(function.targetLatency, target) : target;
            function.isRouted = true;
        }
    }

    /** All functions, in the order in which they were added. */
    public Collection<Function> all() {
        return functions.values();
    }

    /** The function with this name, or null. */
    public Function find(String name) {
        return functions.get(name);
    }

    /** The function with this name; added if it is not known yet. */
    public Function findOrAdd(String name) {
        return functions.computeIfAbsent(name, n -> new Function(n, rateWindow));
    }
}
