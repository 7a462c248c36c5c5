package gingerspool.configuration;

/** Thrown if a configuration or a change to it is invalid. The message names the invalid item. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidConfigurationException(String message) {
        super(message, null, false, false);
    }
}
