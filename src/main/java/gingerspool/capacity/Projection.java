package gingerspool.capacity;

/**
 * One figure of one role at the size of the target: extrapolated from measured lines, or worked out
 * from the target's own numbers. A budget of NaN: none is set.
 */
public record Projection(
        String role,
        String figure,
        double value,
        double error,
        String unit,
        double budget,
        String source) {
    public boolean fits() {
        return value <= budget;
    }

    /** Empty without a budget; no figure is claimed where the value drowns in its error. */
    String verdict() {
        if (Double.isNaN(budget)) {
            return "";
        }
        if (value <= 0 || error > value) {
            return value + error > budget ? "not known" : "yes, within its error";
        }
        return fits() ? "yes" : "**no**";
    }
}
