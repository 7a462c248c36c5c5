package gingerspool.configuration;

/** A configuration that can't be taken; the text names the item. */
public final class InvalidConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    public InvalidConfigurationException(String message) {
        super(message, null, false, false);
    }
}
