package gingerspool.simhost;

/** The wire said something that can't be read; the text is one plain line. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
