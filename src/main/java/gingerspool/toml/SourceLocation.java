package gingerspool.toml;

import java.nio.file.Path;

/** Where something stands in an operator's file; line 0 is the file as a whole. */
public record SourceLocation(Path file, int line) implements Comparable<SourceLocation> {
    @Override
    public int compareTo(SourceLocation other) {
        int byFile = file.compareTo(other.file);
        return byFile != 0 ? byFile : Integer.compare(line, other.line);
    }

    @Override
    public String toString() {
        return line > 0 ? file + ":" + line : file.toString();
    }
}
