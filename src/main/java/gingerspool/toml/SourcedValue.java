package gingerspool.toml;

/** A value and the place that set it; null as the place is a default. */
public record SourcedValue<T>(T value, SourceLocation at) {
    /** Where it was said, in words. */
    public String where() {
        return at == null ? "default" : at.toString();
    }
}
