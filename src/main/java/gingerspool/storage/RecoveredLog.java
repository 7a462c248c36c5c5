package gingerspool.storage;

import gingerspool.consensus.PersistedState;
import java.util.List;

/**
 * What the disk held at the start: the newest whole content, or null; and each file that should
 * hold one and can't be read, with the reason.
 */
public record RecoveredLog(PersistedState state, List<String> unreadable) {
    /** Whether the disk never held anything: only then may this be a first start. */
    public boolean isEmpty() {
        return state == null && unreadable.isEmpty();
    }

    /** Whether there was content, and none of it can be read: votes and entries are lost. */
    public boolean isLost() {
        return state == null && !unreadable.isEmpty();
    }
}
