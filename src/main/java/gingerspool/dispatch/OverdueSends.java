package gingerspool.dispatch;

import java.util.Comparator;
import java.util.TreeSet;

/** Counts the sends in flight whose task's due time has passed. */
final class OverdueSends {
    /** Sends in flight that are not yet due, by due time, and the number of those past it. */
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
