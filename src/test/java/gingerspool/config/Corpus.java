package gingerspool.config;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Operator's files kept as text in one resource; see bad.txt for the form. */
public final class Corpus {
    static final String PROFILES =
            "profile.i = { effect = \"idempotent\", expiry = \"5s\" }\n"
                    + "profile.f = { effect = \"fingerprinted\", expiry = \"5s\", window = \"2s\" }\n"
                    + "profile.s = { effect = \"side-effecting\", expiry = \"5s\" }\n";

    /** One case: files by name, and what must come of them. */
    public static final class Case {
        public final String name;
        final Map<String, StringBuilder> files = new LinkedHashMap<>();
        final List<String> wanted = new ArrayList<>();
        final Map<String, String> explained = new LinkedHashMap<>();

        Case(String name) {
            this.name = name;
        }

        /** Lays the files out in a folder; gives the one to read. */
        public Path write(Path folder) {
            try {
                for (Map.Entry<String, StringBuilder> e : files.entrySet()) {
                    Path at = folder.resolve(e.getKey());
                    Files.createDirectories(at.getParent());
                    Files.writeString(at, e.getValue());
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return folder.resolve("main.toml");
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private Corpus() {}

    public static List<Case> read(String resource) throws IOException {
        String text;
        try (InputStream in = Corpus.class.getResourceAsStream("/config/" + resource)) {
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        List<Case> all = new ArrayList<>();
        Case now = null;
        StringBuilder file = null;
        for (String line : text.split("\n")) {
            if (line.startsWith("== ")) {
                now = new Case(line.substring(3));
                file = new StringBuilder();
                now.files.put("main.toml", file);
                all.add(now);
            } else if (now == null) {
                continue;
            } else if (line.equals("@3")) {
                file.append(PROFILES);
            } else if (line.startsWith("@file ")) {
                file = new StringBuilder();
                now.files.put(line.substring(6), file);
            } else if (line.startsWith("! ")) {
                String wanted = line.substring(2);
                String at = wanted.substring(0, wanted.indexOf(' '));
                now.wanted.add(
                        (at.matches("[0-9]+") ? "main.toml:" : "")
                                + at
                                + ": "
                                + wanted.substring(at.length() + 1));
            } else if (line.startsWith("= ")) {
                String[] parts = line.substring(2).split(" ", 2);
                now.explained.put(parts[0], parts[1]);
            } else {
                file.append(line).append('\n');
            }
        }
        return all;
    }
}
