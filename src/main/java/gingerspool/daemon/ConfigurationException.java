package gingerspool.daemon;

/** The configuration can't be used; the message names the invalid key. */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1L;

    ConfigurationException(String key, String fault) {
        super(key + " " + fault);
    }
}
