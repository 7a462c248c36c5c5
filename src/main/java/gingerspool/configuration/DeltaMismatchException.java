package gingerspool.configuration;

/** A delta does not fit the configuration that it was to be applied to. */
public final class DeltaMismatchException extends Exception {
    private static final long serialVersionUID = 1;

    DeltaMismatchException(String message) {
        super(message);
    }
}
