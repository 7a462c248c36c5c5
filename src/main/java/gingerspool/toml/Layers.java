package gingerspool.toml;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileSystemLoopException;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.PathMatcher;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.PatternSyntaxException;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;

/**
 * Reads an operator's file and all that it includes, and lays them over each other.
 *
 * <p>Call read once; then merged() is the one tree, files() every file that was read, and the
 * faults are in the list that was given. The order: a file's own keys, then its includes one after
 * the other, each followed by its own. Where two layers say the same plain key the later one
 * counts; lists of tables ([[route]], [[worker]]) are appended; a named table ([profile.X],
 * [tenant.X]) may stand in one file only.
 */
public final class Layers {
    /**
     * The most that one file may hold, in bytes: ten thousand routes fit, and a core file does not.
     */
    static final int MOST_BYTES = 4 << 20;

    static final int MOST_FILES = 256;

    /** Deeper nesting than any key here has, well within what the parser's stack carries. */
    private static final int DEEPEST = 32;

    private static final Set<String> NAMED = Set.of("profile", "tenant");
    private static final Set<String> APPENDED = Set.of("route", "worker");

    private final List<Diagnostic> faults;
    private final Map<String, Node> merged = new LinkedHashMap<>();
    private final Set<Path> files = new LinkedHashSet<>();

    /** The files under way, by their real path, each with the place that includes it. */
    private final Deque<Path> open = new ArrayDeque<>();

    public Layers(List<Diagnostic> faults) {
        this.faults = faults;
    }

    public Map<String, Node> merged() {
        return merged;
    }

    public List<Path> files() {
        return new ArrayList<>(files);
    }

    /**
     * The merged tree as a section to be read; what is read is noted, in order, for explanations.
     */
    public Section section(Path file, Map<String, SourcedValue<String>> notes) {
        SourceLocation whole = new SourceLocation(file, 0);
        return new Section("", new Node(whole, merged), whole, faults, notes);
    }

    /** Reads the file and its includes; faults go to the list. */
    public void read(Path file) {
        layer(file, new SourceLocation(file, 0), "");
    }

    /** Reads one file that includes nothing, and asks nothing of where it really lies. */
    public void readAlone(Path file) {
        String text = text(file, new SourceLocation(file, 0), "");
        Node tree =
                text == null
                        ? null
                        : PlainTomlReader.read(file, text).orElseGet(() -> parse(file, text));
        if (tree != null) {
            lay(tree);
        }
    }

    private void layer(Path file, SourceLocation from, String key) {
        Path real;
        try {
            real = file.toRealPath();
        } catch (IOException | SecurityException e) {
            faults.add(new Diagnostic(from, key, reason(file, e, !key.isEmpty())));
            return;
        }
        if (open.contains(real)) {
            faults.add(
                    new Diagnostic(
                            from,
                            key,
                            "includes " + file + ", which includes this file: a circle"));
            return;
        }
        if (files.contains(real)) {
            return;
        }
        if (files.size() >= MOST_FILES) {
            faults.add(new Diagnostic(from, key, "includes more than " + MOST_FILES + " files"));
            return;
        }
        files.add(real);
        String text = text(file, from, key);
        Node tree = text == null ? null : parse(file, text);
        if (tree == null) {
            return;
        }
        open.push(real);
        Node include = tree.table().remove("include");
        lay(tree);
        if (include != null) {
            include(file, include);
        }
        open.pop();
    }

    /** The file's text, or null with a fault. */
    private String text(Path file, SourceLocation from, String key) {
        SourceLocation whole = key.isEmpty() ? new SourceLocation(file, 0) : from;
        String named = key.isEmpty() ? "" : file + " ";
        try {
            if (!Files.isRegularFile(file)) {
                faults.add(
                        new Diagnostic(
                                whole,
                                key,
                                named
                                        + (Files.isDirectory(file)
                                                ? "is a directory"
                                                : "is not a regular file")));
                return null;
            }
            byte[] bytes;
            try (InputStream in = Files.newInputStream(file)) {
                bytes = in.readNBytes(MOST_BYTES + 1);
            }
            if (bytes.length > MOST_BYTES) {
                faults.add(
                        new Diagnostic(
                                whole,
                                key,
                                named + "is larger than " + (MOST_BYTES >> 20) + " MiB"));
                return null;
            }
            String text =
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
            if (text.isBlank()) {
                faults.add(new Diagnostic(whole, key, named + "is empty"));
                return null;
            }
            return text;
        } catch (CharacterCodingException e) {
            faults.add(new Diagnostic(whole, key, named + "is not UTF-8"));
        } catch (IOException | SecurityException e) {
            faults.add(new Diagnostic(whole, key, reason(file, e, !key.isEmpty())));
        }
        return null;
    }

    private static String reason(Path file, Exception e, boolean named) {
        String what =
                e instanceof NoSuchFileException
                        ? "does not exist"
                        : e instanceof AccessDeniedException
                                ? "may not be read"
                                : e instanceof FileSystemLoopException
                                                || String.valueOf(e.getMessage())
                                                        .contains("symbolic link")
                                        ? "is a circle of symbolic links"
                                        : "can't be read: " + e.getMessage();
        return (named ? file + " " : "") + what;
    }

    private Node parse(Path file, String text) {
        // Guards the parser, which recurses: nothing here nests deeply.
        int deep = 0;
        int line = 1;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            line += c == '\n' ? 1 : 0;
            deep =
                    c == '[' || c == '{'
                            ? deep + 1
                            : c == ']' || c == '}' ? deep - 1 : c == '\n' && deep < 0 ? 0 : deep;
            if (deep > DEEPEST) {
                faults.add(
                        new Diagnostic(
                                new SourceLocation(file, line),
                                "",
                                "nests more than " + DEEPEST + " deep"));
                return null;
            }
        }
        TomlParseResult result;
        try {
            result = Toml.parse(text);
        } catch (RuntimeException | StackOverflowError e) {
            faults.add(
                    new Diagnostic(
                            new SourceLocation(file, 0), "", "is not TOML that can be read: " + e));
            return null;
        }
        result.errors()
                .forEach(
                        e ->
                                faults.add(
                                        new Diagnostic(
                                                new SourceLocation(file, e.position().line()),
                                                "",
                                                "is not TOML: "
                                                        + e.getMessage().replaceAll("\\s+", " "))));
        return result.hasErrors() ? null : Node.of(result, new SourceLocation(file, 0));
    }

    private void include(Path file, Node include) {
        List<Node> patterns = include.list();
        if (patterns == null) {
            faults.add(
                    new Diagnostic(
                            include.at,
                            "include",
                            "is " + include.sort() + ", wanted a list of paths"));
            return;
        }
        for (Node n : patterns) {
            if (!(n.value instanceof String pattern) || pattern.isBlank()) {
                faults.add(new Diagnostic(n.at, "include", "holds " + n.sort() + ", wanted paths"));
                continue;
            }
            try {
                for (Path p : paths(file, pattern, n.at)) {
                    layer(p, n.at, "include");
                }
            } catch (InvalidPathException | PatternSyntaxException e) {
                faults.add(
                        new Diagnostic(
                                n.at, "include", "holds a pattern that can't be read: " + pattern));
            } catch (IOException | SecurityException e) {
                faults.add(new Diagnostic(n.at, "include", reason(Path.of(pattern), e, true)));
            }
        }
    }

    /**
     * The files that a pattern names, beside the including file, by name; `*` only in the last
     * part.
     */
    private List<Path> paths(Path file, String pattern, SourceLocation at) throws IOException {
        Path base = file.toAbsolutePath().getParent();
        Path wanted = relative(file, pattern);
        if (pattern.indexOf('*') < 0 && pattern.indexOf('?') < 0) {
            return List.of(wanted);
        }
        int slash = pattern.lastIndexOf('/');
        String folder = slash < 0 ? "" : pattern.substring(0, slash);
        if (folder.indexOf('*') >= 0) {
            faults.add(
                    new Diagnostic(
                            at, "include", "has * before the last part of the path: " + pattern));
            return List.of();
        }
        PathMatcher match =
                FileSystems.getDefault().getPathMatcher("glob:" + pattern.substring(slash + 1));
        List<Path> found = new ArrayList<>();
        Path in = folder.isEmpty() ? base : base.resolve(folder);
        if (!Files.isDirectory(in)) {
            faults.add(new Diagnostic(at, "include", folder + " is no directory"));
            return found;
        }
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(in)) {
            for (Path p : entries) {
                if (match.matches(p.getFileName())) {
                    found.add(
                            relative(
                                    file,
                                    (folder.isEmpty() ? "" : folder + "/") + p.getFileName()));
                }
            }
        }
        Collections.sort(found);
        return found;
    }

    /** Named as the including file is, so that faults read as the operator wrote. */
    private static Path relative(Path file, String name) {
        Path parent = file.getParent();
        return parent == null ? Path.of(name) : parent.resolve(name);
    }

    private void lay(Node tree) {
        tree.table()
                .forEach(
                        (name, node) -> {
                            Node before = merged.get(name);
                            if (before == null) {
                                merged.put(name, copy(node));
                            } else if (APPENDED.contains(name)
                                    && before.list() != null
                                    && node.list() != null) {
                                before.list().addAll(node.list());
                            } else if (before.table() != null && node.table() != null) {
                                over(name, before.table(), node.table(), NAMED.contains(name));
                            } else {
                                merged.put(name, copy(node));
                            }
                        });
    }

    private void over(
            String name, Map<String, Node> before, Map<String, Node> later, boolean once) {
        later.forEach(
                (key, node) -> {
                    Node first = before.get(key);
                    if (once && first != null) {
                        faults.add(
                                new Diagnostic(
                                        node.at,
                                        name + "." + key,
                                        "is defined twice, first at " + first.at));
                    } else if (first != null && first.table() != null && node.table() != null) {
                        over(name + "." + key, first.table(), node.table(), false);
                    } else {
                        before.put(key, copy(node));
                    }
                });
    }

    /** Later layers are put into tables and lists, so those kept are our own. */
    private static Node copy(Node n) {
        return n.table() != null
                ? new Node(n.at, new LinkedHashMap<>(n.table()))
                : n.list() != null ? new Node(n.at, new ArrayList<>(n.list())) : n;
    }
}
