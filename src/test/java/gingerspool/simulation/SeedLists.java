package gingerspool.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * The seeds in machines' settings: at the first start the same for all, later often others, from
 * the operator's list, which lags. They may be the machine itself, down, or gone, but not all of
 * them gone for good.
 */
final class SeedLists {
    /** How many machines the settings name. */
    static final int SEEDS = 3;

    /** By how much the list lags, and how often it is noted, in milliseconds. */
    private static final double LAG = 3000;

    static final double NOTED_EVERY = 500;

    private final SplittableRandom chance;
    private final List<String> first;
    private final Supplier<Collection<String>> machines;
    private final ArrayDeque<List<String>> noted = new ArrayDeque<>();

    SeedLists(SplittableRandom chance, List<String> first, Supplier<Collection<String>> machines) {
        this.chance = chance;
        this.first = first;
        this.machines = machines;
    }

    /** Notes the machines that there are now. */
    void note() {
        noted.addLast(List.copyOf(machines.get()));
        if (noted.size() > LAG / NOTED_EVERY) {
            noted.removeFirst();
        }
    }

    /** The seeds of a machine that starts now. */
    List<String> of(String address, boolean firstStart) {
        if (firstStart || chance.nextBoolean() && canHelp(first, address)) {
            return first;
        }
        List<String> drawn = new ArrayList<>(noted.peekFirst());
        if (!canHelp(drawn, address)) {
            drawn = new ArrayList<>(machines.get());
        }
        do {
            for (int i = drawn.size() - 1; i > 0; i--) {
                Collections.swap(drawn, i, chance.nextInt(i + 1));
            }
        } while (!canHelp(seedsOf(drawn), address));
        return List.copyOf(seedsOf(drawn));
    }

    private static List<String> seedsOf(List<String> addresses) {
        return addresses.subList(0, Math.min(SEEDS, addresses.size()));
    }

    private boolean canHelp(List<String> addresses, String to) {
        return addresses.stream().anyMatch(a -> !a.equals(to) && machines.get().contains(a));
    }
}
