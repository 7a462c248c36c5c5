package gingerspool.configuration;

/** Thrown if a delta cannot be applied to a configuration, or does not give the target version. */
public final class DeltaMismatchException extends Exception {
    private static final long serialVersionUID = 1;

    DeltaMismatchException(String message) {
        super(message);
    }
}
