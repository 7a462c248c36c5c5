package gingerspool.route;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a route takes: tasks of this profile, path, host and tenant; null is any. A path is matched
 * by parts: `*` stands for one part, `**` at the end for any number, none included. A host is exact
 * or "*.suffix".
 */
public record Match(String profile, String path, String host, String tenant) {
    /** Why this path pattern can't be used, or null. */
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

    /** Why this host pattern can't be used, or null. */
    public static String hostFault(String host) {
        String rest = host.startsWith("*.") ? host.substring(2) : host;
        if (rest.indexOf('*') >= 0) {
            return "has * elsewhere than in *. at its begin";
        }
        return rest.matches("[A-Za-z0-9_]([A-Za-z0-9_.-]*[A-Za-z0-9_])?|\\[[0-9a-fA-F:.]+\\]")
                ? null
                : "is no host name, and a port does not belong here";
    }

    /** The parts of a path: "/a/b" has two, "/" has one, which is empty. */
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

    /** A host as it is compared: lower case, without port or final dot. */
    public static String host(String text) {
        String h = text.toLowerCase(Locale.ROOT);
        int colon = h.lastIndexOf(':');
        h = colon > h.lastIndexOf(']') && colon >= 0 ? h.substring(0, colon) : h;
        return h.endsWith(".") ? h.substring(0, h.length() - 1) : h;
    }

    /**
     * Whether it takes this task, part by part; for explaining. The lookup of many routes is Table.
     */
    public boolean takes(String ofProfile, String atPath, String atHost, String ofTenant) {
        return whyNot(ofProfile, atPath, atHost, ofTenant) == null;
    }

    /** The part of the match that this task does not meet, in words, or null where it meets all. */
    public String whyNot(String ofProfile, String atPath, String atHost, String ofTenant) {
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
        String wanted = host.toLowerCase(Locale.ROOT);
        return wanted.startsWith("*.")
                ? h.endsWith(wanted.substring(1)) && h.length() >= wanted.length()
                : h.equals(wanted);
    }

    private boolean pathMatches(List<String> at) {
        List<String> wanted = segments(path);
        for (int i = 0; i < wanted.size(); i++) {
            if (wanted.get(i).equals("**")) {
                return true;
            }
            if (i >= at.size() || !wanted.get(i).equals("*") && !wanted.get(i).equals(at.get(i))) {
                return false;
            }
        }
        return at.size() == wanted.size();
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
