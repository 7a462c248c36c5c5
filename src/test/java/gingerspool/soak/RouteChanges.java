package gingerspool.soak;

import gingerspool.soak.SoakConfiguration.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Draws the operator's changes in {@link PlatformSoakTest} from a seed: routes are added, split,
 * moved to another service, moved back, removed, added anew, and get other time-outs. Services lose
 * all their routes and get them back, and those without routes come and go. The first route stays
 * where it is, as the one that the others are compared with.
 *
 * <p>Used by the operator's thread only.
 */
final class RouteChanges {
    static final String FIRST_ROUTE = "first";
    private static final String FIRST_SERVICE = "service-0";
    private static final int SERVICE_COUNT = 4;
    private static final int MAX_LATER_ROUTES = 4;
    private static final int MIN_TIMEOUT_MS = 1500;
    private static final int TIMEOUT_RANGE_MS = 2500;

    /** One kind of change. */
    private enum Kind {
        ADD,
        SPLIT,
        MOVE,
        MOVE_BACK,
        REMOVE,
        ADD_ANEW,
        TIMEOUT
    }

    private final SplittableRandom random;

    /** The service that each route led to before it was moved. */
    private final Map<String, String> previousServices = new HashMap<>();

    /** Removed routes, which may be added anew under their names. */
    private final List<Route> removedRoutes = new ArrayList<>();

    private int routesAdded;

    RouteChanges(long seed) {
        random = new SplittableRandom(seed);
    }

    /** The first configuration: one route, and services without any. */
    SoakConfiguration first() {
        SortedMap<String, Route> routes = new TreeMap<>();
        routes.put(
                FIRST_ROUTE,
                new Route(FIRST_ROUTE, "/" + FIRST_ROUTE + "/", FIRST_SERVICE, drawTimeout()));
        return new SoakConfiguration(1, routes, drawServices(routes));
    }

    /** The next version: one change, or several at once. */
    SoakConfiguration next(SoakConfiguration current) {
        SortedMap<String, Route> routes = new TreeMap<>(current.routes());
        do {
            change(routes);
        } while (random.nextInt(3) == 0);
        int version = current.version() + 1 + random.nextInt(3);
        return new SoakConfiguration(version, routes, drawServices(routes));
    }

    private void change(SortedMap<String, Route> routes) {
        List<Route> laterRoutes = new ArrayList<>(routes.values());
        laterRoutes.removeIf(route -> route.name().equals(FIRST_ROUTE));
        Kind[] kinds = Kind.values();
        Kind kind = laterRoutes.isEmpty() ? Kind.ADD : kinds[random.nextInt(kinds.length)];
        boolean isFull = laterRoutes.size() >= MAX_LATER_ROUTES;
        switch (kind) {
            case ADD -> {
                if (!isFull) {
                    String name = "r" + ++routesAdded;
                    put(routes, new Route(name, "/" + name + "/", drawService(), drawTimeout()));
                }
            }
            case SPLIT -> {
                Route whole = drawOf(laterRoutes);
                if (!isFull) {
                    put(
                            routes,
                            new Route(
                                    "r" + ++routesAdded,
                                    whole.prefix() + "part" + routesAdded + "/",
                                    drawService(),
                                    drawTimeout()));
                }
            }
            case MOVE -> move(routes, drawOf(laterRoutes), drawService());
            case MOVE_BACK -> {
                Route route = drawOf(laterRoutes);
                move(routes, route, previousServices.getOrDefault(route.name(), drawService()));
            }
            case REMOVE -> {
                Route route = drawOf(laterRoutes);
                routes.remove(route.name());
                removedRoutes.add(route);
            }
            case ADD_ANEW -> {
                if (!isFull && !removedRoutes.isEmpty()) {
                    Route route = removedRoutes.remove(random.nextInt(removedRoutes.size()));
                    put(routes, random.nextBoolean() ? route : route.withService(drawService()));
                }
            }
            default -> put(routes, drawOf(List.copyOf(routes.values())).withTimeout(drawTimeout()));
        }
    }

    private void move(SortedMap<String, Route> routes, Route route, String service) {
        previousServices.put(route.name(), route.service());
        put(routes, route.withService(service));
    }

    private static void put(SortedMap<String, Route> routes, Route route) {
        routes.put(route.name(), route);
    }

    private Route drawOf(List<Route> routes) {
        return routes.get(random.nextInt(routes.size()));
    }

    /** Any service but that of the first route, so that each of them may be without routes. */
    private String drawService() {
        return "service-" + (1 + random.nextInt(SERVICE_COUNT - 1));
    }

    private int drawTimeout() {
        return MIN_TIMEOUT_MS + random.nextInt(TIMEOUT_RANGE_MS);
    }

    /** The services of these routes, and others without routes. */
    private SortedSet<String> drawServices(SortedMap<String, Route> routes) {
        SortedSet<String> services = new TreeSet<>();
        routes.values().forEach(route -> services.add(route.service()));
        for (int i = 0; i < SERVICE_COUNT; i++) {
            if (random.nextInt(4) > 0) {
                services.add("service-" + i);
            }
        }
        return services;
    }
}
