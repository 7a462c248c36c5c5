package gingerspool.weathervane;

import java.util.List;

/** What a disk held: which member it made, its promise, base and entries after the base. */
public record Saved(Member self, long view, Member granted, Base base, List<Entry> entries) { }
