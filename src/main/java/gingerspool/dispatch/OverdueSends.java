package gingerspool.dispatch;

import java.util.Comparator;
import java.util.TreeSet;

/** Counts the sends under way whose task's due time has passed. */
final class OverdueSends {
    /** Sends under way whose due time is still to come, and how many there are whose has passed. */
    private final TreeSet<Assignment> notYetDue =
            new TreeSet<>(
                    Comparator.comparingDouble((Assignment a) -> a.task.due)
                            .thenComparingLong(a -> a.serial));

    private int overdue;

    void sent(Assignment a) {
        notYetDue.add(a);
    }

    void ended(Assignment a) {
        notYetDue.remove(a);
        overdue -= a.overdue ? 1 : 0;
    }

    int count(double now) {
        while (!notYetDue.isEmpty() && now > notYetDue.first().task.due) {
            notYetDue.pollFirst().overdue = true;
            overdue++;
        }
        return overdue;
    }
}
