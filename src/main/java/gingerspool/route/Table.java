package gingerspool.route;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Finds the first of many matches that takes a task, without trying each. add() them in order;
 * first() gives the index of the first that takes a task, covering() of the first that takes all
 * that another match takes.
 *
 * <p>Profile, tenant and host are looked up by name, once as given and once as any; a host also by
 * each of its suffixes. What is left is a tree of path parts. Each node of it knows the lowest
 * index below, so that nothing is looked into that could not come before the one found.
 */
public final class Table {
    /** Guards against paths of thousands of parts: patterns are told apart by the first of them. */
    private static final int MAX_SEGMENTS = 64;

    /**
     * Stands for `*` and `**` in a path that is itself a pattern. A part of a real path never is
     * these objects.
     */
    private static final String ANY_SEGMENT = new String("*");

    private static final String ANY_SEGMENTS = new String("**");
    private static final String ANY = "";

    private final Map<String, Map<String, Map<String, PathNode>>> byProfile = new HashMap<>();
    private int size;

    /** One part of the paths that routes with the same profile, tenant and host wait for. */
    private static final class PathNode {
        private int lowestIndex = Integer.MAX_VALUE;
        private int exactIndex = Integer.MAX_VALUE;
        private int anySegmentsIndex = Integer.MAX_VALUE;
        private PathNode anySegment;
        private final Map<String, PathNode> bySegment = new HashMap<>();
    }

    /** Adds a match behind those that it has; gives its index. */
    public int add(Match m) {
        PathNode at =
                byProfile
                        .computeIfAbsent(
                                m.profile() == null ? ANY : m.profile(), k -> new HashMap<>())
                        .computeIfAbsent(
                                m.tenant() == null ? ANY : m.tenant(), k -> new HashMap<>())
                        .computeIfAbsent(
                                m.host() == null ? ANY : m.host().toLowerCase(Locale.ROOT),
                                k -> new PathNode());
        int index = size++;
        at.lowestIndex = Math.min(at.lowestIndex, index);
        if (m.path() == null) {
            at.anySegmentsIndex = Math.min(at.anySegmentsIndex, index);
            return index;
        }
        for (String part : Match.segments(m.path())) {
            if (part.equals("**")) {
                at.anySegmentsIndex = Math.min(at.anySegmentsIndex, index);
                return index;
            }
            if (part.equals("*")) {
                at.anySegment = at.anySegment == null ? new PathNode() : at.anySegment;
                at = at.anySegment;
            } else {
                at = at.bySegment.computeIfAbsent(part, k -> new PathNode());
            }
            at.lowestIndex = Math.min(at.lowestIndex, index);
        }
        at.exactIndex = Math.min(at.exactIndex, index);
        return index;
    }

    /**
     * The index of the first match that takes this task, or -1. Any may be null: then only "any"
     * takes it.
     */
    public int first(String profile, String path, String host, String tenant) {
        int found =
                searchProfiles(
                        profile,
                        path == null ? null : Match.segments(path),
                        host == null ? null : Match.host(host),
                        tenant);
        return found == Integer.MAX_VALUE ? -1 : found;
    }

    /** The index of the first match that alone takes all that this one takes, or -1. */
    public int covering(Match m) {
        List<String> parts = m.path() == null ? null : Match.segments(m.path());
        if (parts != null) {
            parts.replaceAll(p -> p.equals("*") ? ANY_SEGMENT : p.equals("**") ? ANY_SEGMENTS : p);
        }
        int found =
                searchProfiles(
                        m.profile(),
                        parts,
                        m.host() == null ? null : m.host().toLowerCase(Locale.ROOT),
                        m.tenant());
        return found == Integer.MAX_VALUE ? -1 : found;
    }

    private int searchProfiles(String profile, List<String> path, String host, String tenant) {
        int best = Integer.MAX_VALUE;
        best = searchTenants(byProfile.get(ANY), path, host, tenant, best);
        return profile == null || profile.equals(ANY)
                ? best
                : searchTenants(byProfile.get(profile), path, host, tenant, best);
    }

    private static int searchTenants(
            Map<String, Map<String, PathNode>> byTenant,
            List<String> path,
            String host,
            String tenant,
            int best) {
        if (byTenant == null) {
            return best;
        }
        int found = searchHosts(byTenant.get(ANY), path, host, best);
        return tenant == null || tenant.equals(ANY)
                ? found
                : searchHosts(byTenant.get(tenant), path, host, found);
    }

    private static int searchHosts(
            Map<String, PathNode> byHost, List<String> path, String host, int best) {
        if (byHost == null) {
            return best;
        }
        int found = searchPaths(byHost.get(ANY), path, best);
        if (host == null || host.equals(ANY)) {
            return found;
        }
        found = searchPaths(byHost.get(host), path, found);
        // A pattern *.x is looked up as such for each suffix; a host that is a pattern itself was
        // found
        // above.
        for (int dot = host.indexOf('.'); dot >= 0; dot = host.indexOf('.', dot + 1)) {
            if (dot > 1 || dot == 1 && host.charAt(0) != '*') {
                found = searchPaths(byHost.get("*" + host.substring(dot)), path, found);
            }
        }
        return found;
    }

    private static int searchPaths(PathNode root, List<String> path, int best) {
        return root == null
                ? best
                : path == null ? Math.min(best, root.anySegmentsIndex) : walk(root, path, 0, best);
    }

    private static int walk(PathNode at, List<String> path, int i, int best) {
        if (at == null || at.lowestIndex >= best) {
            return best;
        }
        int found = Math.min(best, at.anySegmentsIndex);
        if (i == path.size()) {
            return Math.min(found, at.exactIndex);
        }
        String part = path.get(i);
        // Only what takes any number of parts takes all that a pattern with ** does.
        if (part == ANY_SEGMENTS || i >= MAX_SEGMENTS) {
            return found;
        }
        found = part == ANY_SEGMENT ? found : walk(at.bySegment.get(part), path, i + 1, found);
        return walk(at.anySegment, path, i + 1, found);
    }
}
