package gingerspool.weathervane;

import java.util.List;

/** What members say to each other; all bear the view in which they are said. */
public sealed interface Letter {
    long view();

    /** Stop for this view: the sender would lead it, and has entries up to this place, of this view. */
    record Stop(long view, long lastView, long last) implements Letter { }

    /** Whether the other would stop for this view, if it were asked to: nothing is promised by either. */
    record Ask(long view, long lastView, long last) implements Letter { }

    /** The answer, with the view that it has itself. */
    record Would(long view, boolean yes, long own) implements Letter { }

    /** The answer: granted, or refused; a stranger is told that it is no member. */
    record Stopped(long view, boolean granted, boolean stranger) implements Letter { }

    /** Entries after a place (the leader's beat if there are none), and how far the order is agreed on. */
    record Append(long view, long before, long beforeView, List<Entry> entries, long agreed, double sentAt)
        implements Letter { }

    /** All up to a place as a state, for one that lacks what came before. */
    record Whole(long view, Base base, long agreed, double sentAt) implements Letter { }

    /** The answer to both: whether it fitted, up to where all is on disk, and the beat that is answered. */
    record Appended(long view, boolean fitted, long last, double sentAt) implements Letter { }

    /** A stranger asks to be taken in. */
    record Join(long view) implements Letter { }

    /** A leader that leaves gives up its lease; the heir is to lead at once. */
    record Take(long view, Member heir) implements Letter { }

    /** A letter on its way: it is for this very member, not for another on the same machine. */
    record Post(Member from, Member to, Letter letter) { }
}
