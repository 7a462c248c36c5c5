package gingerspool.settings;

/** Thrown if the settings file cannot be used. The message lists each fault with file and line. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message, null, false, false);
    }
}
