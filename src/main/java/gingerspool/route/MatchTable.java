package gingerspool.route;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * An index of matches that finds the first one for a task without trying each. Matches are added in
 * order of precedence; first() returns the index of the first that matches a task, covering() of
 * the first that matches every task that another match does.
 *
 * <p>Profile, tenant and host are looked up by name, as given and as any; a host also by each of
 * its suffixes. Below them is a tree of path segments. Each node holds the lowest index in its
 * subtree, so that subtrees without a better candidate are skipped.
 */
public final class MatchTable {
    /** Guards against paths of thousands of segments: only the first ones are compared. */
    private static final int MAX_SEGMENTS = 64;

    /**
     * Represent `*` and `**` in a path that is itself a pattern. They are compared by identity, so
     * that no segment of a real path equals them.
     */
    private static final String ANY_SEGMENT = new String("*");

    private static final String ANY_SEGMENTS = new String("**");
    private static final String ANY = "";

    private final Map<String, Map<String, Map<String, PathNode>>> byProfile = new HashMap<>();
    private int size;

    /** A node in the tree of path patterns that share a profile, tenant and host. */
    private static final class PathNode {
        private int lowestIndex = Integer.MAX_VALUE;
        private int exactIndex = Integer.MAX_VALUE;
        private int anySegmentsIndex = Integer.MAX_VALUE;
        private PathNode anySegment;
        private final Map<String, PathNode> bySegment = new HashMap<>();
    }

    /** Adds a match after the existing ones and returns its index. */
    public int add(Match m) {
        PathNode node =
                byProfile
                        .computeIfAbsent(
                                m.profile() == null ? ANY : m.profile(), k -> new HashMap<>())
                        .computeIfAbsent(
                                m.tenant() == null ? ANY : m.tenant(), k -> new HashMap<>())
                        .computeIfAbsent(
                                m.host() == null ? ANY : m.host().toLowerCase(Locale.ROOT),
                                k -> new PathNode());
        int index = size++;
        node.lowestIndex = Math.min(node.lowestIndex, index);
        if (m.path() == null) {
            node.anySegmentsIndex = Math.min(node.anySegmentsIndex, index);
            return index;
        }
        for (String part : Match.segments(m.path())) {
            if (part.equals("**")) {
                node.anySegmentsIndex = Math.min(node.anySegmentsIndex, index);
                return index;
            }
            if (part.equals("*")) {
                node.anySegment = node.anySegment == null ? new PathNode() : node.anySegment;
                node = node.anySegment;
            } else {
                node = node.bySegment.computeIfAbsent(part, k -> new PathNode());
            }
            node.lowestIndex = Math.min(node.lowestIndex, index);
        }
        node.exactIndex = Math.min(node.exactIndex, index);
        return index;
    }

    /** The index of the first match for this task, or -1. A null value is matched only by "any". */
    public int first(String profile, String path, String host, String tenant) {
        int found =
                searchProfiles(
                        profile,
                        path == null ? null : Match.segments(path),
                        host == null ? null : Match.host(host),
                        tenant);
        return found == Integer.MAX_VALUE ? -1 : found;
    }

    /** The index of the first match that by itself covers this one, or -1. */
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
        // Looks up the pattern *.x for each suffix; a host that is itself a pattern was found
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
                : path == null
                        ? Math.min(best, root.anySegmentsIndex)
                        : searchTree(root, path, 0, best);
    }

    private static int searchTree(PathNode node, List<String> path, int i, int best) {
        if (node == null || node.lowestIndex >= best) {
            return best;
        }
        int found = Math.min(best, node.anySegmentsIndex);
        if (i == path.size()) {
            return Math.min(found, node.exactIndex);
        }
        String part = path.get(i);
        // Only a pattern that ends in ** covers another pattern with **.
        if (part == ANY_SEGMENTS || i >= MAX_SEGMENTS) {
            return found;
        }
        found =
                part == ANY_SEGMENT
                        ? found
                        : searchTree(node.bySegment.get(part), path, i + 1, found);
        return searchTree(node.anySegment, path, i + 1, found);
    }
}
