package gingerspool.capacity;

import gingerspool.capacity.LinearFit.Point;
import java.util.ArrayList;
import java.util.List;

/**
 * One quantity measured at several sizes: its key, what it is, its unit, what the size counts, and
 * over which medium it was measured.
 */
public record Series(
        String key, String what, String unit, String per, Medium medium, LinearFit fit) {
    /** What carried the messages or bytes of a measurement. */
    public enum Medium {
        /** Objects in one process: no socket, no disk. */
        MEMORY,
        /** Connections over the loopback interface of this machine. */
        LOOPBACK,
        /** Files in a temporary folder of this machine. */
        DISK
    }

    /** Measures one value at a size. */
    public interface Probe {
        double measure(int size, long seed) throws Exception;
    }

    /** Measures every size as often as the scale says, sizes in turn, and fits the line. */
    public static Series measure(
            String key,
            String what,
            String unit,
            String per,
            Medium medium,
            Scale scale,
            int[] sizes,
            Probe probe)
            throws Exception {
        List<Point> points = new ArrayList<>();
        for (int round = 0; round < scale.rounds(); round++) {
            for (int size : scale.sizes(sizes)) {
                points.add(new Point(size, probe.measure(size, scale.seed() + round)));
            }
        }
        return new Series(key, what, unit, per, medium, LinearFit.of(points));
    }
}
