package gingerspool.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The condition of a route: the profile, path, host and tenant of a task; null matches any. Paths
 * are matched by segments: `*` matches one segment, `**` at the end any number, including none. A
 * host is exact or "*.suffix".
 */
public record Match(String profile, String path, String host, String tenant) {
    /** The reason why this path pattern is invalid, or null. */
    public static String pathFault(String path) {
        if (!path.startsWith("/")) {
            return "does not begin with /";
        }
        List<String> parts = segments(path);
        for (int i = 0; i < parts.size(); i++) {
            String p = parts.get(i);
            if (p.equals("**") && i < parts.size() - 1) {
                return "has ** before its end";
            }
            if (p.indexOf('*') >= 0 && !p.equals("*") && !p.equals("**")) {
                return "has * inside a part: a * stands for a whole part";
            }
        }
        return path.indexOf('?') >= 0 || path.indexOf('#') >= 0
                ? "holds a query, which is not looked at"
                : null;
    }

    /** The reason why this host pattern is invalid, or null. */
    public static String hostFault(String host) {
        String name = host.startsWith("*.") ? host.substring(2) : host;
        if (name.indexOf('*') >= 0) {
            return "has * elsewhere than in *. at its beginning";
        }
        return name.matches("[A-Za-z0-9_]([A-Za-z0-9_.-]*[A-Za-z0-9_])?|\\[[0-9a-fA-F:.]+\\]")
                ? null
                : "is no host name, and a port does not belong here";
    }

    /** The segments of a path: "/a/b" has two, "/" has one, which is empty. */
    static List<String> segments(String path) {
        List<String> parts = new ArrayList<>();
        int from = 1;
        for (int slash = path.indexOf('/', 1); slash >= 0; slash = path.indexOf('/', from)) {
            parts.add(path.substring(from, slash));
            from = slash + 1;
        }
        parts.add(path.substring(Math.min(from, path.length())));
        return parts;
    }

    /** Normalizes a host for comparison: lower case, without port or final dot. */
    public static String host(String text) {
        String h = text.toLowerCase(Locale.ROOT);
        int colon = h.lastIndexOf(':');
        h = colon > h.lastIndexOf(']') && colon >= 0 ? h.substring(0, colon) : h;
        return h.endsWith(".") ? h.substring(0, h.length() - 1) : h;
    }

    /**
     * Whether this matches a task; used to explain a decision. MatchTable looks up many at once.
     */
    public boolean matches(String ofProfile, String atPath, String atHost, String ofTenant) {
        return mismatch(ofProfile, atPath, atHost, ofTenant) == null;
    }

    /** Describes the first condition that this task does not meet, or null if it meets all. */
    public String mismatch(String ofProfile, String atPath, String atHost, String ofTenant) {
        if (profile != null && !profile.equals(ofProfile)) {
            return "profile is not " + profile;
        }
        if (tenant != null && !tenant.equals(ofTenant)) {
            return "tenant is not " + tenant;
        }
        if (host != null && (atHost == null || !hostMatches(host(atHost)))) {
            return "host does not match " + host;
        }
        return path != null && (atPath == null || !pathMatches(segments(atPath)))
                ? "path does not match " + path
                : null;
    }

    private boolean hostMatches(String h) {
        String pattern = host.toLowerCase(Locale.ROOT);
        return pattern.startsWith("*.")
                ? h.endsWith(pattern.substring(1)) && h.length() >= pattern.length()
                : h.equals(pattern);
    }

    private boolean pathMatches(List<String> actual) {
        List<String> pattern = segments(path);
        for (int i = 0; i < pattern.size(); i++) {
            if (pattern.get(i).equals("**")) {
                return true;
            }
            if (i >= actual.size()
                    || !pattern.get(i).equals("*") && !pattern.get(i).equals(actual.get(i))) {
                return false;
            }
        }
        return actual.size() == pattern.size();
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        appendCondition(text, "profile", profile);
        appendCondition(text, "path", path);
        appendCondition(text, "host", host);
        appendCondition(text, "tenant", tenant);
        return text.length() == 0 ? "anything" : text.toString();
    }

    private static void appendCondition(StringBuilder text, String name, String value) {
        if (value != null) {
            text.append(text.length() == 0 ? "" : ", ").append(name).append(' ').append(value);
        }
    }
}
