package gingerspool.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Collects figures at the size of the target, worked out from measured lines. */
final class Projections {
    private final Map<String, Series> series;
    private final List<Projection> all = new ArrayList<>();

    Projections(Map<String, Series> series) {
        this.series = series;
    }

    List<Projection> all() {
        return all;
    }

    double at(String key, double size) {
        return series.get(key).fit().at(size);
    }

    double slope(String key) {
        return series.get(key).fit().slopeBeyond();
    }

    /** Lines carried on to a size, times a factor; the error is that of the slope. */
    void line(
            String role,
            String figure,
            String key,
            double size,
            double factor,
            double budget,
            String how) {
        LinearFit f = series.get(key).fit();
        String unit = series.get(key).unit();
        all.add(
                new Projection(
                        role,
                        figure,
                        factor * f.at(size),
                        factor * f.errorAt(size),
                        unit,
                        budget,
                        "extrapolated, `" + key + "` at " + Quantity.text(size, "") + how));
    }

    /** A measured slope times numbers of the target; the error is that of the slope. */
    void times(String role, String figure, String key, double factor, double budget, String how) {
        LinearFit f = series.get(key).fit();
        all.add(
                new Projection(
                        role,
                        figure,
                        factor * f.slopeBeyond(),
                        factor * f.slopeBeyondError(),
                        series.get(key).unit(),
                        budget,
                        "extrapolated, slope of `" + key + "` times " + how));
    }

    void sum(String role, String figure, double value, String unit, double budget, String how) {
        all.add(new Projection(role, figure, value, 0, unit, budget, how));
    }

    /** What the target's functions cost each time, so often a second. */
    void rate(String role, String figure, String key, double often, double budget, String how) {
        LinearFit f = series.get(key).fit();
        all.add(
                new Projection(
                        role,
                        figure,
                        often * f.at(TargetSize.FUNCTIONS),
                        often * f.errorAt(TargetSize.FUNCTIONS),
                        series.get(key).unit() + "/s",
                        budget,
                        "extrapolated, `" + key + "` at 510 k, " + how));
    }
}
