package gingerspool.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import gingerspool.capacity.LinearFit.Point;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import org.testng.annotations.Test;

/** Fits on made data: slope, error, R² and bends are those that the data were made with. */
public class LinearFitTest {
    private static final int[] SIZES = {100, 200, 400, 800, 1600};

    private static LinearFit fit(DoubleUnaryOperator value, double noise) {
        SplittableRandom chance = new SplittableRandom(7);
        List<Point> points = new ArrayList<>();
        for (int round = 0; round < 3; round++) {
            for (int size : SIZES) {
                double error = noise * (chance.nextDouble() - 0.5);
                points.add(new Point(size, value.applyAsDouble(size) + error));
            }
        }
        return LinearFit.of(points);
    }

    @Test
    public void anExactLineHasItsSlopeAndNoError() {
        LinearFit fit = fit(x -> 30 + 2.5 * x, 0);
        assertEquals(fit.slope(), 2.5, 1e-9);
        assertEquals(fit.intercept(), 30, 1e-6);
        // Sums of squares of numbers this size round to so much.
        assertEquals(fit.slopeError(), 0, 1e-6);
        assertEquals(fit.rSquared(), 1, 1e-12);
        assertEquals(fit.at(10_000), 25_030, 1e-4);
        assertNull(fit.bend());
        assertFalse(fit.isFlat());
    }

    /** Least squares by hand: sizes 1, 2, 3 with 1, 2, 2. */
    @Test
    public void errorAndRSquaredAreThoseOfTheTextbook() {
        LinearFit fit = LinearFit.of(List.of(new Point(1, 1), new Point(2, 2), new Point(3, 2)));
        assertEquals(fit.slope(), 0.5, 1e-12);
        assertEquals(fit.intercept(), 2.0 / 3, 1e-12);
        assertEquals(fit.rSquared(), 0.75, 1e-12);
        assertEquals(fit.slopeError(), Math.sqrt(1.0 / 12), 1e-12);
        assertEquals(fit.errorAt(12), 10 * Math.sqrt(1.0 / 12), 1e-12);
    }

    @Test
    public void noiseMakesAnErrorThatHoldsTheSlopeAndNoBend() {
        LinearFit fit = fit(x -> 100 + 3 * x, 200);
        assertTrue(fit.slopeError() > 0);
        assertTrue(Math.abs(fit.slope() - 3) < 3 * fit.slopeError(), fit.slope() + "");
        assertNull(fit.bend());
    }

    @Test
    public void aBendIsFoundWhereItWasMadeAndCarriedOn() {
        LinearFit fit = fit(x -> x <= 400 ? x : 400 + 5 * (x - 400), 1);
        assertNotNull(fit.bend());
        assertEquals(fit.bend().size(), 400.0);
        assertEquals(fit.bend().slopeBelow(), 1, 0.05);
        assertEquals(fit.bend().slopeAbove(), 5, 0.05);
        assertEquals(fit.slopeBeyond(), fit.bend().slopeAbove());
        assertEquals(fit.at(10_400), 50_400, 500);
    }

    @Test
    public void noiseAloneIsFlat() {
        assertTrue(fit(x -> 50, 20).isFlat());
        assertTrue(fit(x -> 50, 0).isFlat());
    }
}
