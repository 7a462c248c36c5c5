package gingerspool.wire;

/** Notified when an event loop was late by more than 50 ms. */
@FunctionalInterface
public interface LatenessListener {
    /** Called on the loop's thread before the late timer runs; spans do not overlap. */
    void onLateSpan(LateSpan span);
}
