package gingerspool.daemon;

import gingerspool.config.OperatorFile;
import gingerspool.dispatch.Profile;
import gingerspool.route.Routes;
import gingerspool.toml.Diagnostic;
import gingerspool.wire.BadMessage;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A daemon with an operator's file: `serve --file`. Where the platform configures the process too
 * (GW_CONFIG), the file adds policies only; elsewhere it says all. It is read again on SIGHUP,
 * beside the loop, and takes effect as a whole between two turns or not at all.
 */
public final class FileDaemon {
    private final Path path;
    private final Map<String, String> environment;
    private final boolean standalone;
    private OperatorFile file;

    private FileDaemon(Path path, Map<String, String> environment) {
        this.path = path;
        this.environment = environment;
        String platform = environment.get("GW_CONFIG");
        standalone = platform == null || platform.isEmpty();
    }

    /** Serves until it is told to stop; returns the exit code. */
    public static int serve(String name, Map<String, String> environment) {
        FileDaemon fileDaemon;
        try {
            fileDaemon = new FileDaemon(Path.of(name), environment);
        } catch (InvalidPathException e) {
            System.err.println("--file is no path");
            return 2;
        }
        OperatorFile file = OperatorFile.read(fileDaemon.path);
        // The form of the log is chosen before the first line of it, which fixes it for good.
        LogBackend.select(file.faults().isEmpty() ? file.logForm() : "simple");
        return Daemon.serve(
                () -> fileDaemon.initialConfiguration(file),
                fileDaemon::applyInitialRoutes,
                fileDaemon::reload);
    }

    private static Logger log() {
        return LoggerFactory.getLogger(FileDaemon.class);
    }

    /** For tests: a daemon made from a file, without signals or exit. */
    static Daemon open(Path path) throws Exception {
        FileDaemon fileDaemon = new FileDaemon(path, Map.of());
        Daemon daemon = new Daemon(fileDaemon.initialConfiguration(OperatorFile.read(path)));
        fileDaemon.applyInitialRoutes(daemon);
        daemon.hangupAction = () -> fileDaemon.reload(daemon);
        return daemon;
    }

    private NodeConfiguration initialConfiguration(OperatorFile read)
            throws ConfigurationException {
        file = read;
        if (!read.faults().isEmpty()) {
            logFaults(read.faults());
            throw new ConfigurationException(
                    path.toString(),
                    "can't be used: "
                            + read.faults().size()
                            + (read.faults().size() == 1 ? " fault" : " faults"));
        }
        if (standalone && !read.isWhole()) {
            throw new ConfigurationException(
                    path.toString(), "has no scheduler.listen, and GW_CONFIG is not set");
        }
        NodeConfiguration node =
                standalone
                        ? new NodeConfiguration(read.deployment(), environment)
                        : NodeConfiguration.read(environment);
        List<String> conflicts = platformConflicts(read, node.deployment);
        if (!conflicts.isEmpty()) {
            throw new ConfigurationException(path.toString(), String.join("; ", conflicts));
        }
        return node;
    }

    private static void logFaults(List<Diagnostic> faults) {
        for (Diagnostic f : faults) {
            log().atError()
                    .addKeyValue("file", f.at().file())
                    .addKeyValue("line", f.at().line())
                    .addKeyValue("key", f.key())
                    .addKeyValue("fault", f.what())
                    .log("file.fault");
        }
    }

    /**
     * Guards the rules: policies were checked against the file's profiles, the platform's are those
     * that run.
     */
    private static List<String> platformConflicts(OperatorFile read, Configuration platform) {
        List<String> conflicts = new ArrayList<>();
        read.profileFacts()
                .forEach(
                        (name, fact) -> {
                            Profile p = platform.profiles.get(name);
                            if (p != null && p.effect != fact.effect()) {
                                conflicts.add(
                                        "profile."
                                                + name
                                                + ".effect differs from the platform's, "
                                                + p.effect);
                            }
                            if (p != null && p.expiry > 0 && p.expiry < fact.expiry()) {
                                conflicts.add(
                                        "profile."
                                                + name
                                                + ".expiry is beyond the platform's, "
                                                + p.expiry
                                                + " ms");
                            }
                        });
        return conflicts;
    }

    private void applyInitialRoutes(Daemon daemon) {
        daemon.scheduler.reconfigure(new Routes(file.rules(), null), null);
    }

    /** On SIGHUP, from the signal's own thread: reading files is not for the loop. */
    private void reload(Daemon daemon) {
        OperatorFile read = OperatorFile.read(path);
        if (!read.faults().isEmpty()) {
            logFaults(read.faults());
            logRefused(read.faults().size(), "faults");
            return;
        }
        NodeConfiguration node = null;
        try {
            node = standalone ? new NodeConfiguration(read.deployment(), environment) : daemon.node;
        } catch (ConfigurationException e) {
            logRefused(1, e.getMessage());
            return;
        }
        List<String> conflicts =
                standalone
                        ? new ArrayList<>(changesNeedingRestart(daemon.node.tree(), node.tree()))
                        : platformConflicts(read, node.deployment);
        if (!conflicts.isEmpty()) {
            logRefused(
                    conflicts.size(),
                    (standalone ? "needs a restart: " : "") + String.join(", ", conflicts));
            return;
        }
        NodeConfiguration accepted = node;
        daemon.loop.submit(() -> apply(daemon, read, accepted));
    }

    private static void logRefused(int count, String why) {
        log().atError().addKeyValue("faults", count).addKeyValue("why", why).log("file.refused");
    }

    private void apply(Daemon daemon, OperatorFile read, NodeConfiguration node) {
        double startedAt = daemon.loop.now();
        file = read;
        daemon.scheduler.reconfigure(
                new Routes(read.rules(), daemon.scheduler.routes()),
                standalone ? node.deployment : null);
        try {
            if (standalone && node.discovery == null) {
                daemon.scheduler.applyFixedList(node.knownList);
            }
        } catch (BadMessage e) {
            logRefused(1, e.getMessage());
        }
        daemon.reloadMs = daemon.loop.now() - startedAt;
        log().atInfo()
                .addKeyValue("file", path)
                .addKeyValue("files", read.files().size())
                .addKeyValue("routes", read.routeCount())
                .addKeyValue("ms", Math.round(daemon.reloadMs))
                .log("file.applied");
    }

    /** The keys that differ and that a running scheduler can't change. */
    private static TreeSet<String> changesNeedingRestart(Map<?, ?> old, Map<?, ?> changed) {
        TreeSet<String> keys = new TreeSet<>();
        collectChanges("", old, changed, keys);
        return keys;
    }

    private static void collectChanges(
            String path, Object old, Object changed, TreeSet<String> keys) {
        if (path.matches("seed|known|settings\\.tenants\\[\\d+\\]\\.allowancePerS")
                || path.matches("settings\\.profiles\\[\\d+\\]\\..*") && !path.endsWith(".name")
                || path.matches("settings\\.(localities|flavors|specifics\\.classKind).*")
                || Objects.equals(old, changed)) {
            return;
        }
        if (old instanceof Map<?, ?> a && changed instanceof Map<?, ?> b) {
            TreeSet<String> names = new TreeSet<>();
            a.keySet().forEach(k -> names.add((String) k));
            b.keySet().forEach(k -> names.add((String) k));
            names.forEach(
                    k ->
                            collectChanges(
                                    path.isEmpty() ? k : path + "." + k, a.get(k), b.get(k), keys));
        } else if (old instanceof List<?> a
                && changed instanceof List<?> b
                && a.size() == b.size()) {
            for (int i = 0; i < a.size(); i++) {
                collectChanges(path + "[" + i + "]", a.get(i), b.get(i), keys);
            }
        } else {
            keys.add(path);
        }
    }
}
