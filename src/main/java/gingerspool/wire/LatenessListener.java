package gingerspool.wire;

/** Is told when an event loop was late by more than 50 ms. */
@FunctionalInterface
public interface LatenessListener {
    /** Called on the loop, before the timer that was late runs; spans do not overlap. */
    void late(LateSpan span);
}
