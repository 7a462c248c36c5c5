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
    /** A value so many standard errors from its budget or nearer is on neither side of it. */
    private static final double ERRORS = 2;

    public boolean fits() {
        return value <= budget;
    }

    /** Empty without a budget; no figure is claimed where the value drowns in its error. */
    String verdict() {
        if (Double.isNaN(budget)) {
            return "";
        }
        if (error > 0 && Math.abs(value - budget) < ERRORS * error) {
            return "open, within two errors";
        }
        return fits() ? "yes" : "**no**";
    }
}
