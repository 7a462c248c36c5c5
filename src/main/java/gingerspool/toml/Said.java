package gingerspool.toml;

/** A value and the place that set it; null as the place is a default. */
public record Said<T>(T value, Place at) {
    /** Where it was said, in words. */
    public String where() {
        return at == null ? "default" : at.toString();
    }
}
