package gingerspool.cli;

import gingerspool.capacity.CapacityReport;
import gingerspool.capacity.Measurement;
import gingerspool.capacity.Scale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures slopes of the control side and prints the tables of the page on capacity. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description =
                "Measures how the control side grows, with hollow schedulers and instances in this"
                        + " process, and prints the tables of docs/CAPACITY.md.")
final class CapacityCommand implements Callable<Integer> {
    @Spec CommandSpec spec;

    @Option(names = "--quick", description = "Small sizes, one round: for a look, not for a page.")
    boolean quick;

    @Option(names = "--seed", defaultValue = "1", description = "Names and draws. Default: 1.")
    long seed;

    @Option(names = "--rounds", defaultValue = "2", description = "Rounds a size. Default: 2.")
    int rounds;

    @Option(names = "--points", description = "Prints every value that was fitted, too.")
    boolean points;

    @Override
    public Integer call() throws Exception {
        Scale of = quick ? Scale.SMALL : Scale.FULL;
        Scale scale =
                new Scale(of.divisor(), quick ? 1 : rounds, of.intervals(), of.interval(), seed);
        Measurement measured = Measurement.run(scale, spec.commandLine().getErr());
        new CapacityReport(measured, points, spec.commandLine().getOut()).print();
        // Threads of the programs measured may outlive them.
        spec.commandLine().getOut().flush();
        return 0;
    }
}
