package gingerspool.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A line through measured points by least squares, and the place where it bends, if it does: two
 * lines that meet at a measured size, whose slopes differ by more than chance explains.
 */
public final class LinearFit {
    /** One measured value at one size. */
    public record Point(double size, double value) {}

    /** The slope below and above the size at which the line bends. */
    public record Bend(double size, double slopeBelow, double slopeAbove) {}

    /** Both parts of a bent line hold so many sizes at least. */
    private static final int SIZES_LEAST = 3;

    /** Slopes differ if one is larger than the other by this ratio, */
    private static final double RATIO = 1.25;

    /** and if they lie apart by so many standard errors of their difference. */
    private static final double ERRORS = 3;

    /** A slope within so many of its standard errors may be none. */
    private static final double FLAT = 2;

    private final List<Point> points;
    private final SimpleRegression line;
    private final SimpleRegression upper;
    private final Bend bend;

    private LinearFit(List<Point> points) {
        this.points = List.copyOf(points);
        line = regression(points);
        Double at = bestBreak();
        SimpleRegression below = at == null ? null : regression(part(at, true));
        SimpleRegression above = at == null ? null : regression(part(at, false));
        boolean bends = at != null && differs(below, above);
        upper = bends ? above : line;
        bend = bends ? new Bend(at, below.getSlope(), above.getSlope()) : null;
    }

    /** Fits at least two sizes. */
    public static LinearFit of(List<Point> points) {
        return new LinearFit(points);
    }

    public List<Point> points() {
        return points;
    }

    public double slope() {
        return line.getSlope();
    }

    public double slopeError() {
        return line.getSlopeStdErr();
    }

    public double intercept() {
        return line.getIntercept();
    }

    public double rSquared() {
        return line.getRSquare();
    }

    /** Whether the slope can't be told from none. */
    public boolean isFlat() {
        return Math.abs(slope()) <= FLAT * slopeError() || slope() == 0;
    }

    /** Null where one line does. */
    public Bend bend() {
        return bend;
    }

    /** The slope at the largest sizes measured: that of the upper part of a bent line. */
    public double slopeBeyond() {
        return upper.getSlope();
    }

    /** Its standard error. */
    public double slopeBeyondError() {
        return upper.getSlopeStdErr();
    }

    /** The value at a size beyond those measured, along the upper part of a bent line. */
    public double at(double size) {
        return upper.predict(size);
    }

    /**
     * The standard error of that value as far as the slope's error explains it: an extrapolation is
     * surely no better.
     */
    public double errorAt(double size) {
        double mean = points.stream().mapToDouble(Point::size).average().orElse(0);
        return upper.getSlopeStdErr() * Math.abs(size - mean);
    }

    private static SimpleRegression regression(List<Point> of) {
        SimpleRegression r = new SimpleRegression();
        of.forEach(p -> r.addData(p.size(), p.value()));
        return r;
    }

    private List<Point> part(double at, boolean below) {
        return points.stream().filter(p -> below ? p.size() <= at : p.size() >= at).toList();
    }

    /** The inner size at which two lines leave the least squares; null where sizes are too few. */
    private Double bestBreak() {
        List<Double> sizes =
                new ArrayList<>(new TreeSet<>(points.stream().map(Point::size).toList()));
        Double best = null;
        double least = Double.POSITIVE_INFINITY;
        for (int i = SIZES_LEAST - 1; i <= sizes.size() - SIZES_LEAST; i++) {
            double at = sizes.get(i);
            double squares =
                    regression(part(at, true)).getSumSquaredErrors()
                            + regression(part(at, false)).getSumSquaredErrors();
            if (squares < least) {
                least = squares;
                best = at;
            }
        }
        return best;
    }

    private static boolean differs(SimpleRegression below, SimpleRegression above) {
        double a = below.getSlope();
        double b = above.getSlope();
        double error = Math.hypot(below.getSlopeStdErr(), above.getSlopeStdErr());
        boolean byRatio =
                Math.max(Math.abs(a), Math.abs(b)) > RATIO * Math.min(Math.abs(a), Math.abs(b));
        return byRatio && Math.abs(a - b) > ERRORS * error;
    }
}
