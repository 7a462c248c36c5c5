package gingerspool.dispatch;

import java.util.Comparator;
import java.util.TreeSet;

/** Counts the sends under way whose task's due time has passed. */
final class OverdueSends {
    /** Sends under way whose due time is still to come, and how many there are whose has passed. */
    private final TreeSet<Assignment> byDue =
            new TreeSet<>(
                    Comparator.comparingDouble((Assignment a) -> a.task.due)
                            .thenComparingLong(a -> a.serial));

    private int overdue;

    void sent(Assignment a) {
        byDue.add(a);
    }

    void ended(Assignment a) {
        byDue.remove(a);
        overdue -= a.overdue ? 1 : 0;
    }

    int count(double now) {
        while (!byDue.isEmpty() && now > byDue.first().task.due) {
            byDue.pollFirst().overdue = true;
            overdue++;
        }
        return overdue;
    }
}
