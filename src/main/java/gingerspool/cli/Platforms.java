package gingerspool.cli;

import gingerspool.configuration.ConfigurationState;
import gingerspool.controlplane.ControlNode;
import gingerspool.dataplane.SchedulerNode;
import gingerspool.settings.NodeSettings;
import gingerspool.settings.SettingsException;
import gingerspool.standin.Cloud;
import gingerspool.wire.Address;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Commands of the whole platform. */
public final class Platforms {
    private Platforms() {}

    /**
     * The two programs, as the platform starts them: settings come from the file that the variable
     * names.
     */
    static final class Program {
        private Program() {}

        @Command(
                name = "scheduler",
                mixinStandardHelpOptions = true,
                description =
                        "The data plane, on a front machine. GINGERSPOOL_CONFIG names its settings file.")
        static final class Front implements Callable<Integer> {
            @Override
            public Integer call() {
                return NodeProgram.run("scheduler", System.getenv());
            }
        }

        @Command(
                name = "control",
                mixinStandardHelpOptions = true,
                description =
                        "The control plane, on a core machine. GINGERSPOOL_CONFIG names its settings file.")
        static final class Core implements Callable<Integer> {
            @Override
            public Integer call() {
                return NodeProgram.run("control", System.getenv());
            }
        }
    }

    @Command(
            name = "check-settings",
            mixinStandardHelpOptions = true,
            description =
                    "Reads a settings file of the platform and names all that is wrong. Exit code 0 or 2.")
    static final class CheckSettings implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        Path file;

        @Override
        public Integer call() {
            try {
                NodeSettings s = NodeSettings.read(file);
                spec.commandLine().getOut().println(file + ": can be used by " + s.name);
                return 0;
            } catch (SettingsException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return 2;
            }
        }
    }

    @Command(
            name = "check-configuration",
            mixinStandardHelpOptions = true,
            description =
                    "Reads a whole configuration as an operator would send it and names what is wrong.")
    static final class CheckConfiguration implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Parameters(paramLabel = "FILE")
        Path file;

        @Override
        public Integer call() throws IOException {
            ConfigurationState.ChangeResult v =
                    new ConfigurationState().apply(true, 0, Files.readAllBytes(file));
            if (v.status() == ConfigurationState.ACCEPTED) {
                spec.commandLine().getOut().println(file + ": can be taken");
                return 0;
            }
            spec.commandLine().getErr().println(file + ": " + v.message());
            return 2;
        }
    }

    @Command(
            name = "platform",
            mixinStandardHelpOptions = true,
            description =
                    "Starts a small platform on loopback, three control nodes, two schedulers and "
                            + "a stand-in for the machines that instances run on, gives it a "
                            + "configuration, sends a request, and ends.")
    static final class Small implements Callable<Integer> {
        @Spec CommandSpec spec;

        @Option(names = "--stay", description = "Goes on until it is interrupted.")
        boolean stay;

        @Override
        public Integer call() throws Exception {
            try (Running platform = new Running(Files.createTempDirectory("gingerspool"))) {
                var out = spec.commandLine().getOut();
                out.println(
                        "operators call " + platform.control() + ", clients " + platform.fronts());
                HttpResponse<String> taken = platform.configure();
                out.println(
                        "the configuration is taken: " + taken.statusCode() + " " + taken.body());
                HttpResponse<String> served = platform.request("/hello/world", 20);
                out.println("GET /hello/world: " + served.statusCode() + " " + served.body());
                out.flush();
                if (stay) {
                    Thread.currentThread().join();
                }
                return served.statusCode() == 200 ? 0 : 1;
            }
        }
    }

    /** A platform in this process. */
    public static final class Running implements AutoCloseable {
        /** What operators would send. */
        public static final String CONFIGURATION =
                """
            {"Version":1,"Routes":[{"Name":"r","HostName":"127.0.6.1","PathPrefix":"/hello/",
            "RouteKind":"safe",
            "TimeoutMs":8000,"TargetLatencyMs":2000,"Priority":1,"Service":"hello","MaxAttempts":2}],
            "Services":[{"Name":"hello","HealthPath":null,"ConnectionLimit":20,"MemoryMb":128,"BootMs":200,
            "MaxConcurrency":2}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeoutMs":3000,
            "IdleTimeoutMs":15000}}""";

        private static final int CORES = 3;
        private static final int FRONTS = 2;
        private static final int CONTROL = 18248;
        private static final int FRONT = 18241;
        private static final int READINESS = 18246;
        private static final int INNER = 17400;

        private final HttpClient client =
                HttpClient.newBuilder()
                        .connectTimeout(Duration.ofSeconds(1))
                        .followRedirects(HttpClient.Redirect.ALWAYS)
                        .build();
        private final SingleThreadEventLoop loop = new SingleThreadEventLoop();
        public final Cloud cloud;
        private final Path folder;
        public final List<ControlNode> core = new ArrayList<>();
        private final List<SchedulerNode> front = new ArrayList<>();

        /** Starts all of it; what it keeps on disk goes under the folder. */
        public Running(Path folder) throws IOException, SettingsException {
            this.folder = folder;
            cloud = new Cloud(loop, "127.0.7.1", Map.of("h1", "a", "h2", "b"), 200, 20, 100, 2);
            for (int i = 1; i <= CORES; i++) {
                core.add(new ControlNode(settings("core-" + i, "127.0.5." + i)));
            }
            for (int i = 1; i <= FRONTS; i++) {
                front.add(new SchedulerNode(settings("front-" + i, "127.0.6." + i)));
            }
            core.forEach(
                    node ->
                            node.start(
                                    why -> {
                                        throw new IllegalStateException(why);
                                    }));
            front.forEach(SchedulerNode::start);
        }

        private NodeSettings settings(String name, String ip)
                throws IOException, SettingsException {
            Path file = folder.resolve(name + ".toml");
            Files.writeString(
                    file,
                    """
                NodeName = "%s"
                IpAddress = "%s"
                Zone = "a"
                InternalPortRange = [%d,%d]
                SeedNodes = ["127.0.5.1:%d","127.0.5.2:%d","127.0.5.3:%d"]
                FirstStart = true
                DataDirectory = "%s"
                HeartbeatIntervalMs = 600
                [Zones]
                a = "r"
                b = "r"
                [ListenAddresses]
                FrontAddress = "%s:%d"
                ReadinessAddress = "%s:%d"
                ControlAddress = "%s:%d"
                [Limits]
                DiskMb = 64
                [ToleratedLosses]
                Machines = 1
                [Cloud]
                Address = "%s"
                RatePerS = 50.0
                LagMs = 100
                DutyPerS = 50.0
                """
                            .formatted(
                                    name,
                                    ip,
                                    INNER,
                                    INNER + 15,
                                    CONTROL,
                                    CONTROL,
                                    CONTROL,
                                    folder.resolve(name),
                                    ip,
                                    FRONT,
                                    ip,
                                    READINESS,
                                    ip,
                                    CONTROL,
                                    Address.text(cloud.address())));
            return NodeSettings.read(file);
        }

        public String control() {
            return "http://127.0.5.1:" + CONTROL;
        }

        public String fronts() {
            return "http://127.0.6.1:" + FRONT + " and http://127.0.6.2:" + FRONT;
        }

        /** Sends the configuration until it is taken. */
        public HttpResponse<String> configure() throws InterruptedException {
            return until(
                    200,
                    40,
                    HttpRequest.newBuilder(URI.create(control() + "/v1/configuration/replace"))
                            .header("Based-On-Version", "0")
                            .POST(HttpRequest.BodyPublishers.ofString(CONFIGURATION))
                            .build());
        }

        /** Reads the configuration back from this machine of the core. */
        public HttpResponse<String> read(int machine) throws InterruptedException {
            return until(
                    200,
                    40,
                    HttpRequest.newBuilder(
                                    URI.create(
                                            "http://127.0.5."
                                                    + machine
                                                    + ":"
                                                    + CONTROL
                                                    + "/v1/configuration/read"))
                            .build());
        }

        /** Sends a request until it is served, so many times at the most. */
        public HttpResponse<String> request(String path, int tries) throws InterruptedException {
            return until(
                    200,
                    tries,
                    HttpRequest.newBuilder(URI.create("http://127.0.6.1:" + FRONT + path))
                            .header("Request-Id", "demo-" + System.nanoTime())
                            .header("Remaining-Milliseconds", "8000")
                            .build());
        }

        private HttpResponse<String> until(int status, int tries, HttpRequest request)
                throws InterruptedException {
            HttpResponse<String> last = null;
            for (int i = 0; i < tries && (last == null || last.statusCode() != status); i++) {
                try {
                    last = client.send(request, HttpResponse.BodyHandlers.ofString());
                } catch (IOException e) {
                    // Not there yet, or no longer.
                }
                if (last == null || last.statusCode() != status) {
                    Thread.sleep(100);
                }
            }
            if (last == null) {
                throw new IllegalStateException("no answer to " + request);
            }
            return last;
        }

        @Override
        public void close() {
            front.forEach(SchedulerNode::close);
            core.forEach(ControlNode::close);
            loop.submit(
                    () -> {
                        cloud.close();
                        loop.stop();
                    });
        }
    }
}
