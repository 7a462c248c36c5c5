package gingerspool.weathervane;

import java.util.List;

/** One place in the order: the view that put it there, and a command, or the members from here on. */
public record Entry(long view, byte[] command, List<Member> members) {
    /** What each view begins with: it says nothing, but once it is agreed on so is all before it. */
    static Entry begin(long view) {
        return new Entry(view, null, null);
    }

    static Entry command(long view, byte[] command) {
        return new Entry(view, command, null);
    }

    static Entry members(long view, List<Member> members) {
        return new Entry(view, null, members);
    }
}
