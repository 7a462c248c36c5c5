package gingerspool.cli;

import gingerspool.config.Explain;
import gingerspool.config.OperatorFile;
import gingerspool.daemon.Daemon;
import gingerspool.daemon.FileDaemon;
import gingerspool.simhost.SimHost;
import gingerspool.toml.Diagnostic;
import java.io.PrintWriter;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command line. Exit codes: 0 done, 1 could not listen, 2 bad arguments or a bad file. */
public final class Commands {
    /** What `version` says; the build's number is in the jar's manifest. */
    private static final String NAME = "gingerspool";

    private Commands() {}

    /** Runs the command; returns the exit code. */
    public static int run(String... args) {
        return commandLine().execute(args);
    }

    static CommandLine commandLine() {
        CommandLine line = new CommandLine(new Top());
        line.addSubcommand("help", new CommandLine.HelpCommand());
        return line;
    }

    @Command(
            name = NAME,
            description = "A scheduler that pushes tasks to workers.",
            subcommands = {
                Serve.class,
                Simhost.class,
                CheckFiles.class,
                ExplainFile.class,
                RouteOf.class,
                Version.class,
                Completion.class,
                Rigs.Standin.class,
                Rigs.LoadCommand.class,
                Rigs.ExperimentCommand.class,
                Rigs.JudgeCommand.class,
                Platforms.Small.class,
                Platforms.CheckSettings.class,
                Platforms.CheckConfiguration.class,
                Platforms.Program.Front.class,
                Platforms.Program.Core.class
            })
    static final class Top implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().usage(spec.commandLine().getErr());
            return 2;
        }
    }

    /** A path that the program can't even name is a fault of the file, not of the arguments. */
    private static OperatorFile read(String name, PrintWriter err) {
        try {
            OperatorFile file = OperatorFile.read(Path.of(name));
            for (Diagnostic f : file.faults()) {
                err.println(f);
            }
            return file.faults().isEmpty() ? file : null;
        } catch (InvalidPathException e) {
            err.println(name.replaceAll("\\p{Cntrl}", "?") + ": is no path");
            return null;
        }
    }

    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description =
                    "Serves in the foreground. Without --file the platform's GW_CONFIG tells all; "
                            + "with it and without GW_CONFIG the file does.")
    static final class Serve implements Callable<Integer> {
        @Option(names = "--file", paramLabel = "FILE", description = "The operator's file.")
        String file;

        @Override
        public Integer call() {
            return file == null
                    ? Daemon.serve(System.getenv())
                    : FileDaemon.serve(file, System.getenv());
        }
    }

    @Command(
            name = "simhost",
            mixinStandardHelpOptions = true,
            description =
                    "Runs the same decisions under a simulator, on standard input and output.")
    static final class Simhost implements Callable<Integer> {
        @Override
        public Integer call() {
            return SimHost.run(System.in, System.out, System.err);
        }
    }

    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Reads operator's files and names all that is wrong. Exit code 0 or 2.")
    static final class CheckFiles implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Parameters(arity = "1..*", paramLabel = "FILE")
        List<String> files;

        @Override
        public Integer call() {
            int code = 0;
            for (String f : files) {
                if (read(f, spec.commandLine().getErr()) == null) {
                    code = 2;
                } else {
                    spec.commandLine().getOut().println(f + ": can be used");
                }
            }
            return code;
        }
    }

    @Command(
            name = "explain",
            mixinStandardHelpOptions = true,
            description =
                    "Shows the effective settings "
                            + "and policies, and for each value the file and line that set it.")
    static final class ExplainFile implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        String file;

        @Override
        public Integer call() {
            OperatorFile read = read(file, spec.commandLine().getErr());
            if (read == null) {
                return 2;
            }
            Explain.lines(read).forEach(spec.commandLine().getOut()::println);
            return 0;
        }
    }

    @Command(
            name = "routes",
            mixinStandardHelpOptions = true,
            description = "Tells which route a task would take, and why.")
    static final class RouteOf implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        String file;

        @Option(names = "--profile", required = true, paramLabel = "NAME")
        String profile;

        @Option(names = "--path", paramLabel = "PATH", description = "By default /PROFILE.")
        String path;

        @Option(names = "--host", paramLabel = "HOST")
        String host;

        @Option(names = "--tenant", paramLabel = "NAME")
        String tenant;

        @Override
        public Integer call() {
            OperatorFile read = read(file, spec.commandLine().getErr());
            if (read == null) {
                return 2;
            }
            if (!read.profileNames().contains(profile)) {
                spec.commandLine()
                        .getErr()
                        .println(
                                "--profile is "
                                        + profile
                                        + ", which is no profile of the file: "
                                        + String.join(", ", read.profileNames()));
                return 2;
            }
            OperatorFile.RouteChoice choice =
                    read.choose(profile, path == null ? "/" + profile : path, host, tenant);
            List<String> lines = new ArrayList<>(choice.why());
            lines.add(
                    choice.name() == null
                            ? "no route takes it; the profile's own policy holds:"
                            : "route " + choice.name() + " takes it; its policy:");
            choice.policy().forEach(l -> lines.add("  " + l));
            lines.forEach(spec.commandLine().getOut()::println);
            return 0;
        }
    }

    @Command(name = "version", mixinStandardHelpOptions = true, description = "Tells the version.")
    static final class Version implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Override
        public Integer call() {
            String number = Commands.class.getPackage().getImplementationVersion();
            spec.commandLine()
                    .getOut()
                    .println(NAME + " " + (number == null ? "(not from a jar)" : number));
            return 0;
        }
    }

    @Command(
            name = "completion",
            mixinStandardHelpOptions = true,
            description = "Prints a script that completes commands in bash and zsh; source it.")
    static final class Completion implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Override
        public Integer call() {
            spec.commandLine().getOut().print(AutoComplete.bash(NAME, spec.root().commandLine()));
            spec.commandLine().getOut().flush();
            return 0;
        }
    }
}
