package gingerspool.simhost;

/** A message from the simulator violates the protocol; the exception's text is one line. */
final class WireException extends Exception {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
