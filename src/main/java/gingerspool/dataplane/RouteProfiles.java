package gingerspool.dataplane;

import gingerspool.configuration.Route;
import gingerspool.dispatch.Profile;
import gingerspool.wire.RequestSafeguard;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The Dispatcher's profiles for the routes of one function. Routes with the same kind, latency
 * target, time-out and priority share two profiles: one for requests on time and one for requests
 * that will miss the latency target.
 *
 * <p>Invariant: the index of a profile is its position here, from its creation on. A Dispatcher
 * knows only the indexes of the profiles that it was created with, so its requests must get their
 * profiles from the same RouteProfiles; {@link FunctionDispatcher} keeps the two together.
 *
 * <p>Immutable; used on the event loop.
 */
final class RouteProfiles {
    /** The expiry for routes without a time-out, in milliseconds. */
    private static final double DEFAULT_EXPIRY_MS = 60_000;

    /** The initial estimate of the service time, as a fraction of the latency target. */
    private static final double INITIAL_SERVICE_TIME_FRACTION = 0.2;

    /** The shortest latency target if there are no routes, in milliseconds. */
    private static final double DEFAULT_TARGET_MS = 1000;

    private static final int PROFILES_PER_ROUTE = 2;

    static final RouteProfiles NONE = new RouteProfiles(List.of(), safeguard -> true);

    /** The profile of a route's late requests follows the one of its requests on time. */
    private final List<Profile> profiles;

    private final Predicate<RequestSafeguard> safeguards;

    private RouteProfiles(List<Profile> profiles, Predicate<RequestSafeguard> safeguards) {
        this.profiles = profiles;
        this.safeguards = safeguards;
        for (int i = 0; i < profiles.size(); i++) {
            profiles.get(i).index = i;
        }
    }

    /** Whether the function has no routes, so that no Dispatcher can be created for it. */
    boolean isEmpty() {
        return profiles.isEmpty();
    }

    /** The profiles for the routes that lead to a function. */
    static RouteProfiles of(List<Route> routes, Predicate<RequestSafeguard> has) {
        Map<String, Profile> all = new LinkedHashMap<>();
        for (Route route : routes) {
            for (boolean isLate : new boolean[] {false, true}) {
                Profile profile = profile(route, isLate, has);
                all.putIfAbsent(profile.name, profile);
            }
        }
        return new RouteProfiles(List.copyOf(all.values()), has);
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
        profile.priority = -route.getPriority();
        profile.effect = mayRepeat ? Profile.Effect.IDEMPOTENT : Profile.Effect.SIDE_EFFECTING;
        return profile;
    }

    /** The unique name of a profile, made of all route settings that matter to the Dispatcher. */
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

    /** The profiles by index. */
    Profile[] toArray() {
        return profiles.toArray(new Profile[0]);
    }

    /** The shortest latency target of all profiles, in milliseconds. */
    double shortestTarget() {
        return profiles.stream().mapToDouble(p -> p.dueTime).min().orElse(DEFAULT_TARGET_MS);
    }

    /**
     * The profile for a request on this route; there must be profiles. A route that is not among
     * those of these profiles gets one with its own settings and the index of a similar profile, so
     * that its requests share what the Dispatcher learns but are decided by their own terms.
     */
    Profile find(Route route, boolean isLate) {
        String name = name(route, isLate);
        for (Profile profile : profiles) {
            if (profile.name.equals(name)) {
                return profile;
            }
        }
        Profile substitute = profile(route, isLate, safeguards);
        substitute.index = similarIndex(substitute.effect, isLate);
        return substitute;
    }

    /** The index of a profile with this lateness, and with this effect if there is any. */
    private int similarIndex(Profile.Effect effect, boolean isLate) {
        int offset = isLate ? 1 : 0;
        for (int onTime = 0; onTime < profiles.size(); onTime += PROFILES_PER_ROUTE) {
            if (profiles.get(onTime).effect == effect) {
                return onTime + offset;
            }
        }
        return offset;
    }

    /** Whether the other profiles are the same to the Dispatcher. */
    boolean hasSameProfilesAs(RouteProfiles other) {
        return profiles.toString().equals(other.profiles.toString());
    }
}
