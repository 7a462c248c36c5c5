package gingerspool.configuration;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Computes and applies the difference between two versions of the configuration. Applying a delta
 * gives exactly the version that it was computed for, or an error; never another configuration.
 */
public final class ConfigurationDelta {
    private ConfigurationDelta() {}

    /** The delta from the base to the target, whose checksum the caller passes. */
    public static ConfigurationChanges between(
            Configuration base, Configuration target, long checksum) {
        ConfigurationChanges.Builder changes =
                ConfigurationChanges.newBuilder()
                        .setBase(base.getVersion())
                        .setVersion(target.getVersion())
                        .setChecksum(checksum);
        Map<String, Route> baseRoutes = byName(base.getRoutesList(), Route::getName);
        changes.addAllRoutes(changedItems(baseRoutes, target.getRoutesList(), Route::getName))
                .addAllRemovedRoutes(
                        removedNames(baseRoutes, target.getRoutesList(), Route::getName));
        Map<String, Service> baseServices = byName(base.getServicesList(), Service::getName);
        changes.addAllServices(
                        changedItems(baseServices, target.getServicesList(), Service::getName))
                .addAllRemovedServices(
                        removedNames(baseServices, target.getServicesList(), Service::getName));
        if (!target.getLimits().equals(base.getLimits())) {
            changes.setLimits(target.getLimits());
        }
        return changes.build();
    }

    /**
     * Applies a delta. Unchanged items of the result are shared with the base.
     *
     * @throws DeltaMismatchException if the delta was computed for another base, or if the result
     *     does not have the checksum of the target; the caller then needs a complete copy
     */
    public static Configuration apply(Configuration base, ConfigurationChanges changes)
            throws DeltaMismatchException {
        if (changes.getBase() != base.getVersion()) {
            throw new DeltaMismatchException(
                    "the delta applies to version %d, not to version %d"
                            .formatted(changes.getBase(), base.getVersion()));
        }
        Configuration.Builder builder =
                Configuration.newBuilder()
                        .setVersion(changes.getVersion())
                        .addAllRoutes(
                                updatedItems(
                                        base.getRoutesList(),
                                        changes.getRemovedRoutesList(),
                                        changes.getRoutesList(),
                                        Route::getName))
                        .addAllServices(
                                updatedItems(
                                        base.getServicesList(),
                                        changes.getRemovedServicesList(),
                                        changes.getServicesList(),
                                        Service::getName));
        if (changes.hasLimits()) {
            builder.setLimits(changes.getLimits());
        } else if (base.hasLimits()) {
            builder.setLimits(base.getLimits());
        }
        Configuration result = builder.build();
        if (ConfigurationChecksum.of(result) != changes.getChecksum()) {
            throw new DeltaMismatchException(
                    "the checksum does not match after applying the delta to version %d"
                            .formatted(changes.getVersion()));
        }
        return result;
    }

    private static <T> Map<String, T> byName(List<T> items, Function<T, String> name) {
        Map<String, T> itemsByName = new LinkedHashMap<>();
        items.forEach(item -> itemsByName.put(name.apply(item), item));
        return itemsByName;
    }

    private static <T> List<T> changedItems(
            Map<String, T> base, List<T> target, Function<T, String> name) {
        return target.stream().filter(item -> !item.equals(base.get(name.apply(item)))).toList();
    }

    private static <T> List<String> removedNames(
            Map<String, T> base, List<T> target, Function<T, String> name) {
        Set<String> removed = new HashSet<>(base.keySet());
        target.forEach(item -> removed.remove(name.apply(item)));
        return removed.stream().sorted().toList();
    }

    private static <T> Iterable<T> updatedItems(
            List<T> base, List<String> removed, List<T> changed, Function<T, String> name) {
        Map<String, T> items = byName(base, name);
        removed.forEach(items::remove);
        changed.forEach(item -> items.put(name.apply(item), item));
        return items.values();
    }
}
