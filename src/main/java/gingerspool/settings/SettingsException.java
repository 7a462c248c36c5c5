package gingerspool.settings;

/** The settings file can't be used; the text names each fault with file and line. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    public SettingsException(String message) {
        super(message, null, false, false);
    }
}
