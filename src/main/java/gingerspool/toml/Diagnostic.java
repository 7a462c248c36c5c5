package gingerspool.toml;

/** One thing wrong with an operator's file: where, at which key (may be empty), and what. */
public record Diagnostic(SourceLocation at, String key, String what) {
    @Override
    public String toString() {
        return at + ": " + (key.isEmpty() ? "" : key + " ") + what;
    }
}
