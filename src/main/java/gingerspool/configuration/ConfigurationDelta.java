package gingerspool.configuration;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * The difference between two versions of the configuration, and its application. Applying a delta
 * gives the version that it was made for, or an error: never a third configuration.
 */
public final class ConfigurationDelta {
    private ConfigurationDelta() {}

    /** What turns the base into the other version; its checksum is that of the latter. */
    public static ConfigurationChanges between(
            Configuration base, Configuration newest, long checksum) {
        ConfigurationChanges.Builder changes =
                ConfigurationChanges.newBuilder()
                        .setBase(base.getVersion())
                        .setVersion(newest.getVersion())
                        .setChecksum(checksum);
        Map<String, Route> routes = byName(base.getRoutesList(), Route::getName);
        changes.addAllRoutes(changed(routes, newest.getRoutesList(), Route::getName))
                .addAllRemovedRoutes(removed(routes, newest.getRoutesList(), Route::getName));
        Map<String, Service> services = byName(base.getServicesList(), Service::getName);
        changes.addAllServices(changed(services, newest.getServicesList(), Service::getName))
                .addAllRemovedServices(
                        removed(services, newest.getServicesList(), Service::getName));
        if (!newest.getLimits().equals(base.getLimits())) {
            changes.setLimits(newest.getLimits());
        }
        return changes.build();
    }

    /**
     * The version that results; what has not changed is shared with the base.
     *
     * @throws DeltaMismatchException if the delta was made for another base, or what results is not
     *     what it was made for; the caller then needs a complete copy
     */
    public static Configuration apply(Configuration base, ConfigurationChanges changes)
            throws DeltaMismatchException {
        if (changes.getBase() != base.getVersion()) {
            throw new DeltaMismatchException(
                    "a delta from version %d met version %d"
                            .formatted(changes.getBase(), base.getVersion()));
        }
        Configuration.Builder next =
                Configuration.newBuilder()
                        .setVersion(changes.getVersion())
                        .addAllRoutes(
                                applied(
                                        base.getRoutesList(),
                                        changes.getRemovedRoutesList(),
                                        changes.getRoutesList(),
                                        Route::getName))
                        .addAllServices(
                                applied(
                                        base.getServicesList(),
                                        changes.getRemovedServicesList(),
                                        changes.getServicesList(),
                                        Service::getName));
        if (changes.hasLimits()) {
            next.setLimits(changes.getLimits());
        } else if (base.hasLimits()) {
            next.setLimits(base.getLimits());
        }
        Configuration result = next.build();
        if (ConfigurationChecksum.of(result) != changes.getChecksum()) {
            throw new DeltaMismatchException(
                    "the delta to version %d does not give what it was made for"
                            .formatted(changes.getVersion()));
        }
        return result;
    }

    private static <T> Map<String, T> byName(List<T> items, Function<T, String> name) {
        Map<String, T> all = new LinkedHashMap<>();
        items.forEach(item -> all.put(name.apply(item), item));
        return all;
    }

    private static <T> List<T> changed(
            Map<String, T> base, List<T> newest, Function<T, String> name) {
        return newest.stream().filter(item -> !item.equals(base.get(name.apply(item)))).toList();
    }

    private static <T> List<String> removed(
            Map<String, T> base, List<T> newest, Function<T, String> name) {
        Set<String> gone = new HashSet<>(base.keySet());
        newest.forEach(item -> gone.remove(name.apply(item)));
        return gone.stream().sorted().toList();
    }

    private static <T> Iterable<T> applied(
            List<T> base, List<String> removed, List<T> changed, Function<T, String> name) {
        Map<String, T> items = byName(base, name);
        removed.forEach(items::remove);
        changed.forEach(item -> items.put(name.apply(item), item));
        return items.values();
    }
}
