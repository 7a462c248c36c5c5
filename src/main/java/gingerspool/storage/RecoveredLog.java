package gingerspool.storage;

import gingerspool.consensus.PersistedState;
import java.util.List;

/**
 * The result of reading the log at the start.
 *
 * @param state the content of the newest readable file; null if there is none
 * @param unreadable the non-empty files newer than that which cannot be read, each with the reason
 */
public record RecoveredLog(PersistedState state, List<String> unreadable) {
    /** Whether no content was ever written: only then can this be a first start. */
    public boolean isEmpty() {
        return state == null && unreadable.isEmpty();
    }

    /** Whether content was written but none can be read: votes and entries are lost. */
    public boolean isLost() {
        return state == null && !unreadable.isEmpty();
    }
}
