package gingerspool.capacity;

import gingerspool.capacity.LinearFit.Point;
import java.io.PrintWriter;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Prints what was measured, and what follows from it, as tables in Markdown. */
public final class CapacityReport {
    private final Measurement measurement;
    private final boolean withPoints;
    private final PrintWriter out;

    public CapacityReport(Measurement measurement, boolean withPoints, PrintWriter out) {
        this.measurement = measurement;
        this.withPoints = withPoints;
        this.out = out;
    }

    public void print() {
        head();
        slopes();
        messages();
        idleTypes();
        projections();
        if (withPoints) {
            points();
        }
        out.flush();
    }

    private void head() {
        Scale s = measurement.scale();
        out.printf(
                Locale.ROOT,
                "Run: seed %d, sizes divided by %d, %d rounds, %.0f s, Java %s on %d processors.%n%n",
                s.seed(),
                s.divisor(),
                s.rounds(),
                measurement.seconds(),
                Runtime.version().feature(),
                Runtime.getRuntime().availableProcessors());
    }

    private void slopes() {
        out.println("### Slopes");
        out.println();
        out.println(
                "| key | what | sizes | over | slope, ± standard error | at size 0 | R² | shape |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        measurement.series().forEach(this::slope);
        out.println();
    }

    private void slope(Series s) {
        LinearFit fit = s.fit();
        List<Point> points = fit.points();
        double least = points.stream().mapToDouble(Point::size).min().orElse(0);
        double most = points.stream().mapToDouble(Point::size).max().orElse(0);
        out.printf(
                Locale.ROOT,
                "| `%s` | %s | %s to %s | %s | %s ± %s a %s | %s | %s | %s |%n",
                s.key(),
                s.what(),
                number(least),
                number(most),
                s.medium().name().toLowerCase(Locale.ROOT),
                Quantity.text(fit.slope(), s.unit()),
                Quantity.text(fit.slopeError(), s.unit()),
                s.per(),
                Quantity.text(fit.intercept(), s.unit()),
                Double.isNaN(fit.rSquared())
                        ? ""
                        : String.format(Locale.ROOT, "%.4f", fit.rSquared()),
                shape(s));
    }

    private static String shape(Series s) {
        LinearFit fit = s.fit();
        LinearFit.Bend b = fit.bend();
        if (b != null) {
            return "bends at "
                    + number(b.size())
                    + ": "
                    + Quantity.text(b.slopeBelow(), s.unit())
                    + ", then "
                    + Quantity.text(b.slopeAbove(), s.unit());
        }
        return fit.isFlat() ? "flat within its error" : "straight";
    }

    private static String number(double value) {
        return Quantity.text(value, "");
    }

    private void messages() {
        out.println("### Messages");
        out.println();
        out.println("| message | bytes, its length included | encode, us | decode, us |");
        out.println("| --- | --- | --- | --- |");
        measurement
                .messages()
                .forEach(
                        (name, row) ->
                                out.printf(
                                        Locale.ROOT,
                                        "| `%s` | %d | %s | %s |%n",
                                        name,
                                        row.bytes(),
                                        number(row.encode()),
                                        number(row.decode())));
        out.println();
    }

    private void idleTypes() {
        out.println("### An idle link to one control node, a second");
        out.println();
        out.println("| message | frames | bytes |");
        out.println("| --- | --- | --- |");
        for (Map.Entry<String, double[]> e : measurement.idleTypes().entrySet()) {
            out.printf(
                    Locale.ROOT,
                    "| %s | %s | %s |%n",
                    e.getKey(),
                    number(e.getValue()[0]),
                    number(e.getValue()[1]));
        }
        out.println();
    }

    private void projections() {
        List<Projection> all = new Target(measurement).projections();
        Map<String, List<Projection>> byRole =
                all.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Projection::role,
                                        java.util.LinkedHashMap::new,
                                        Collectors.toList()));
        out.println("### At the size of the target, with the mechanisms of today");
        out.println();
        byRole.forEach(this::role);
        out.println("### Ways weighed");
        out.println();
        new Alternatives(measurement).rows().forEach(this::role);
    }

    /** Every value that was fitted, so that a fit can be checked or made anew. */
    private void points() {
        out.println("### Points");
        out.println();
        out.println("| key | unit | size: value |");
        out.println("| --- | --- | --- |");
        for (Series s : measurement.series()) {
            String all =
                    s.fit().points().stream()
                            .map(p -> String.format(Locale.ROOT, "%.0f: %.5g", p.size(), p.value()))
                            .collect(Collectors.joining(", "));
            out.printf("| `%s` | %s | %s |%n", s.key(), s.unit(), all);
        }
        out.println();
    }

    private void role(String role, List<Projection> rows) {
        out.println("#### " + role);
        out.println();
        out.println("| figure | value | budget | fits | worked out from |");
        out.println("| --- | --- | --- | --- | --- |");
        for (Projection p : rows) {
            out.printf(
                    Locale.ROOT,
                    "| %s | %s%s | %s | %s | %s |%n",
                    p.figure(),
                    Quantity.text(p.value(), p.unit()),
                    p.error() > 0 ? " ± " + Quantity.text(p.error(), p.unit()) : "",
                    Double.isNaN(p.budget()) ? "" : Quantity.text(p.budget(), p.unit()),
                    p.verdict(),
                    p.source());
        }
        out.println();
    }
}
