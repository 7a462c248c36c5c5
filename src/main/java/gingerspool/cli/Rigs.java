package gingerspool.cli;

import gingerspool.experiment.Experiment;
import gingerspool.judge.Judge;
import gingerspool.judge.Verdict;
import gingerspool.load.Load;
import gingerspool.scenario.Plan;
import gingerspool.scenario.Scenario;
import gingerspool.scenario.ScenarioFile;
import gingerspool.standin.Fleet;
import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The commands of the emulated fleet: stand-ins, load and experiments. */
final class Rigs {
    private Rigs() {}

    private static Scenario scenario(Path file, PrintWriter err) {
        ScenarioFile read = ScenarioFile.read(file);
        read.faults().forEach(err::println);
        return read.faults().isEmpty() ? read.scenario() : null;
    }

    /** Numeric addresses of schedulers; null, with a complaint, where one can't be read. */
    private static List<InetSocketAddress> addresses(List<String> texts, PrintWriter err) {
        List<InetSocketAddress> all = new ArrayList<>();
        for (String t : texts) {
            try {
                InetSocketAddress a = Address.read(t);
                if (!a.getAddress().isLoopbackAddress()) {
                    err.println("--schedulers holds " + t + ", which is no loopback address");
                    return null;
                }
                all.add(a);
            } catch (BadMessage e) {
                err.println(
                        "--schedulers holds "
                                + t
                                + ", wanted numeric addresses such as 127.0.0.1:8080");
                return null;
            }
        }
        return all;
    }

    /** What a command plays: a scenario, and the schedulers that it is played with. */
    private abstract static class OnScenario implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Parameters(paramLabel = "SCENARIO")
        Path file;

        @Option(
                names = "--schedulers",
                required = true,
                split = ",",
                paramLabel = "ADDRESS",
                description = "The scenario's schedulers, one address each.")
        List<String> schedulers;

        @Override
        public final Integer call() throws IOException, InterruptedException {
            PrintWriter err = spec.commandLine().getErr();
            Scenario s = scenario(file, err);
            List<InetSocketAddress> to = addresses(schedulers, err);
            if (s == null || to == null) {
                return 2;
            }
            play(Plan.make(s, s.seed, file.toAbsolutePath().getParent()), to);
            return 0;
        }

        abstract void play(Plan plan, List<InetSocketAddress> to)
                throws IOException, InterruptedException;
    }

    @Command(
            name = "standin",
            mixinStandardHelpOptions = true,
            description =
                    "Runs discovery and the workers of a scenario on loopback, and its faults, "
                            + "until it is ended or the scenario is over.")
    static final class Standin extends OnScenario {
        @Option(
                names = "--log",
                defaultValue = "executions.tsv",
                paramLabel = "FILE",
                description = "The execution log, by default ${DEFAULT-VALUE}.")
        Path log;

        @Override
        void play(Plan plan, List<InetSocketAddress> to) throws IOException, InterruptedException {
            PrintWriter err = spec.commandLine().getErr();
            SingleThreadEventLoop loop = new SingleThreadEventLoop();
            Fleet fleet = new Fleet(loop, plan, to, log);
            CountDownLatch done = new CountDownLatch(1);
            loop.submit(
                    () -> {
                        try {
                            fleet.start();
                            fleet.play();
                        } catch (IOException e) {
                            err.println("can't start: " + e.getMessage());
                            done.countDown();
                        }
                    });
            for (int i = 0; i < to.size(); i++) {
                spec.commandLine()
                        .getOut()
                        .println(
                                "discovery for "
                                        + schedulers.get(i)
                                        + " at "
                                        + Address.text(fleet.discovery(i)));
            }
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> {
                                        CountDownLatch flushed = new CountDownLatch(1);
                                        loop.submit(
                                                () -> {
                                                    fleet.flush();
                                                    flushed.countDown();
                                                });
                                        try {
                                            flushed.await(2, TimeUnit.SECONDS);
                                        } catch (InterruptedException e) {
                                            Thread.currentThread().interrupt();
                                        }
                                    }));
            done.await((long) plan.scenario.length + 60_000, TimeUnit.MILLISECONDS);
        }
    }

    @Command(
            name = "load",
            mixinStandardHelpOptions = true,
            description =
                    "Plays the requests of a scenario in an open loop against schedulers on loopback.")
    static final class LoadCommand extends OnScenario {
        @Option(
                names = "--record",
                defaultValue = "clients.tsv",
                paramLabel = "FILE",
                description = "The clients' record, by default ${DEFAULT-VALUE}.")
        Path record;

        @Override
        void play(Plan plan, List<InetSocketAddress> to) throws IOException, InterruptedException {
            PrintWriter err = spec.commandLine().getErr();
            PrintWriter out = spec.commandLine().getOut();
            SingleThreadEventLoop loop = new SingleThreadEventLoop();
            Load load = new Load(loop, plan, to, record);
            CompletableFuture<Void> done = new CompletableFuture<>();
            loop.submit(() -> load.play(() -> done.complete(null)));
            while (!done.isDone()) {
                try {
                    done.get(1, TimeUnit.SECONDS);
                } catch (TimeoutException e) {
                    loop.submit(() -> out.println(load.progress()));
                } catch (java.util.concurrent.ExecutionException e) {
                    throw new IOException(e.getCause());
                }
            }
            loop.submit(() -> out.println(load.progress()));
            CountDownLatch closed = new CountDownLatch(1);
            loop.submit(
                    () -> {
                        try {
                            load.close();
                        } catch (IOException e) {
                            err.println("the record can't be written: " + e.getMessage());
                        }
                        closed.countDown();
                    });
            closed.await();
            out.printf(
                    "sent late by %.2f ms at the 99.9th percentile%n",
                    load.lateness().getValueAtPercentile(99.9) / 1000.0);
            loop.stop();
        }
    }

    @Command(
            name = "judge",
            mixinStandardHelpOptions = true,
            description =
                    "Holds a clients' record and an execution log against the rules. Exit code 0 "
                            + "where all hold, 1 where one broke, 2 where they can't be read, 3 "
                            + "where the tool itself was late at each breach.")
    static final class JudgeCommand implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Parameters(index = "0", paramLabel = "CLIENTS")
        Path clients;

        @Parameters(index = "1", paramLabel = "EXECUTIONS")
        Path executions;

        @Override
        public Integer call() {
            try {
                Verdict v = Judge.judge(clients, executions);
                v.violations().forEach(spec.commandLine().getOut()::println);
                v.explained().forEach(x -> spec.commandLine().getOut().println("explained: " + x));
                spec.commandLine()
                        .getOut()
                        .printf(
                                "service %.3f of %d asked, %d breaches of rules%n",
                                v.all().service(), v.all().asked, v.violations().size());
                return v.isVoid() ? Experiment.VOID : v.violations().isEmpty() ? 0 : 1;
            } catch (IOException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return 2;
            }
        }
    }

    @Command(
            name = "experiment",
            mixinStandardHelpOptions = true,
            description =
                    "Starts schedulers, stand-ins and load, plays a scenario over seeds and judges "
                            + "by what workers and clients wrote down. Exit code 0 where all rules "
                            + "hold, 1 where one broke, 2 for a scenario that can't be played, 3 "
                            + "where the tool itself was late at each breach.")
    static final class ExperimentCommand implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Parameters(paramLabel = "SCENARIO")
        Path file;

        @Option(names = "--seeds", defaultValue = "1", paramLabel = "N")
        int seeds;

        @Option(
                names = "--against",
                paramLabel = "OTHER",
                description = "Another jar, or an operator's file.")
        Path against;

        @Option(
                names = "--jar",
                paramLabel = "JAR",
                description = "The jar under test, by default this one.")
        Path jar;

        @Option(names = "--out", required = true, paramLabel = "DIR")
        Path out;

        @Override
        public Integer call() throws InterruptedException {
            if (seeds < 1) {
                spec.commandLine().getErr().println("--seeds is " + seeds + ", wanted 1 or more");
                return 2;
            }
            return Experiment.run(
                    file, seeds, against, jar, out, new PrintStream(System.out, true));
        }
    }
}
