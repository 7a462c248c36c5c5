package gingerspool.slots;

import gingerspool.configuration.Configuration;
import gingerspool.configuration.Route;
import gingerspool.configuration.Service;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The functions by name: those of the configuration, and those that still have instances. */
public final class FunctionCatalog {
    private final Map<String, Function> functions = new LinkedHashMap<>();
    private final double rateWindow;

    /** Arrival rates look back over this span, in milliseconds. */
    FunctionCatalog(double rateWindow) {
        this.rateWindow = rateWindow;
    }

    /** Takes the services and routes of a configuration; what it does not name is unrouted. */
    void configure(Configuration configuration) {
        functions.values().forEach(function -> function.isRouted = false);
        for (Service service : configuration.getServicesList()) {
            Function function = findOrAdd(service.getName());
            function.startTime = service.getBoot();
            function.concurrency = Math.max(1, service.getConcurrency());
            function.memoryMb = service.getMemory();
            function.targetLatency = Double.POSITIVE_INFINITY;
        }
        for (Route route : configuration.getRoutesList()) {
            Function function = functions.get(route.getService());
            double target = route.getAim() > 0 ? route.getAim() : Double.POSITIVE_INFINITY;
            function.isRouted = true;
            function.targetLatency = Math.min(function.targetLatency, target);
        }
    }

    /** All functions, in the order in which they became known. */
    public Collection<Function> all() {
        return functions.values();
    }

    /** The function of this name, or null. */
    public Function find(String name) {
        return functions.get(name);
    }

    /** The function of this name, made anew where no configuration has named it. */
    public Function findOrAdd(String name) {
        return functions.computeIfAbsent(name, n -> new Function(n, rateWindow));
    }
}
