package gingerspool.almanac;

/** A configuration that can't be taken; the text names the item. */
public final class BadConfiguration extends Exception {
    private static final long serialVersionUID = 1L;

    public BadConfiguration(String text) {
        super(text, null, false, false);
    }
}
