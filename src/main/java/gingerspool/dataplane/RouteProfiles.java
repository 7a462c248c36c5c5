package gingerspool.dataplane;

import gingerspool.configuration.Route;
import gingerspool.dispatch.Profile;
import gingerspool.wire.RequestSafeguard;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The Dispatcher's profiles of one function: for each sort of its routes one for requests in time
 * and one for those past their latency target.
 */
final class RouteProfiles {
    /** The expiry of routes without a time-out, in milliseconds. */
    private static final double DEFAULT_EXPIRY_MS = 60_000;

    /** The service time to begin with, in parts of the latency target. */
    private static final double INITIAL_SERVICE_TIME_FRACTION = 0.2;

    /** The shortest latency target where there are no routes, in milliseconds. */
    private static final double DEFAULT_TARGET_MS = 1000;

    static final RouteProfiles NONE = new RouteProfiles(List.of());

    private final List<Profile> profiles;

    private RouteProfiles(List<Profile> profiles) {
        this.profiles = profiles;
    }

    /** The profiles of the routes that lead to a function. */
    static RouteProfiles of(List<Route> routes, Predicate<RequestSafeguard> has) {
        Map<String, Profile> all = new LinkedHashMap<>();
        for (Route route : routes) {
            for (boolean isLate : new boolean[] {false, true}) {
                Profile profile = profile(route, isLate, has);
                all.putIfAbsent(profile.name, profile);
            }
        }
        return new RouteProfiles(List.copyOf(all.values()));
    }

    private static Profile profile(Route route, boolean isLate, Predicate<RequestSafeguard> has) {
        long target = Math.max(1, route.getAim());
        boolean mayRepeat =
                route.getKind().equals("safe") || !has.test(RequestSafeguard.UNSAFE_ONCE);
        Profile profile = new Profile();
        profile.name = name(route, isLate);
        profile.expiry = route.hasTimeout() ? route.getTimeout() : DEFAULT_EXPIRY_MS;
        profile.dueTime = isLate ? profile.expiry : target;
        profile.stretch = 0;
        profile.work = INITIAL_SERVICE_TIME_FRACTION * target;
        profile.prio = -route.getPriority();
        profile.effect = mayRepeat ? Profile.Effect.IDEMPOTENT : Profile.Effect.SIDE_EFFECTING;
        return profile;
    }

    private static String name(Route route, boolean isLate) {
        String routeType =
                String.join(
                        " ",
                        route.getKind(),
                        String.valueOf(route.getAim()),
                        String.valueOf(route.getTimeout()),
                        String.valueOf(route.getPriority()));
        return isLate ? routeType + " late" : routeType;
    }

    /** The profiles, numbered in their order. */
    Profile[] toNumberedArray() {
        Profile[] all = profiles.toArray(new Profile[0]);
        for (int i = 0; i < all.length; i++) {
            all[i].index = i;
        }
        return all;
    }

    /** The shortest latency target of any. */
    double shortestTarget() {
        return profiles.stream().mapToDouble(p -> p.dueTime).min().orElse(DEFAULT_TARGET_MS);
    }

    /**
     * The profile of a request by this route; where there is none of its sort yet, the most careful
     * one stands in.
     */
    Profile find(Route route, boolean isLate) {
        String name = name(route, isLate);
        Profile fallback = null;
        for (Profile profile : profiles) {
            if (profile.name.equals(name)) {
                return profile;
            }
            boolean isBetterFallback =
                    fallback == null || profile.effect == Profile.Effect.SIDE_EFFECTING;
            fallback = isBetterFallback ? profile : fallback;
        }
        return fallback;
    }

    /** Whether others mean the same to the Dispatcher. */
    boolean hasSameProfilesAs(RouteProfiles other) {
        return profiles.toString().equals(other.profiles.toString());
    }
}
