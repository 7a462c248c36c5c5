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
 * A daemon with an operator's file: `serve --file`. If the platform configures the process as well
 * (GW_CONFIG), the file only adds policies; otherwise it is the whole configuration. The file is
 * read again on SIGHUP, outside the event loop, and is applied as a whole in one task of the loop
 * or not at all.
 */
public final class FileDaemon {
    private final Path path;
    private final Map<String, String> environment;

    /** Whether the file is the whole configuration, without GW_CONFIG. */
    private final boolean standalone;

    /** The file as last applied. */
    private OperatorFile file;

    private FileDaemon(Path path, Map<String, String> environment) {
        this.path = path;
        this.environment = environment;
        String platform = environment.get("GW_CONFIG");
        standalone = platform == null || platform.isEmpty();
    }

    /**
     * Serves until the process is told to stop.
     *
     * @return the exit code
     */
    public static int serve(String name, Map<String, String> environment) {
        FileDaemon fileDaemon;
        try {
            fileDaemon = new FileDaemon(Path.of(name), environment);
        } catch (InvalidPathException e) {
            System.err.println("--file is not a valid path");
            return 2;
        }
        OperatorFile file = OperatorFile.read(fileDaemon.path);
        // The log format is selected before the first line is logged, which makes it final.
        LogBackend.select(file.faults().isEmpty() ? file.logForm() : "simple");
        return Daemon.serve(
                () -> fileDaemon.initialConfiguration(file),
                fileDaemon::applyInitialRoutes,
                fileDaemon::reload);
    }

    /** Looked up at each use, since the logging library is selected after this class is loaded. */
    private static Logger log() {
        return LoggerFactory.getLogger(FileDaemon.class);
    }

    /** Creates a daemon from a file without signal handlers or exit, for tests. */
    static Daemon open(Path path) throws Exception {
        FileDaemon fileDaemon = new FileDaemon(path, Map.of());
        Daemon daemon = new Daemon(fileDaemon.initialConfiguration(OperatorFile.read(path)));
        fileDaemon.applyInitialRoutes(daemon);
        daemon.hangupAction = () -> fileDaemon.reload(daemon);
        return daemon;
    }

    private NodeConfiguration initialConfiguration(OperatorFile newFile)
            throws ConfigurationException {
        file = newFile;
        if (!newFile.faults().isEmpty()) {
            logFaults(newFile.faults());
            throw new ConfigurationException(
                    path.toString(),
                    "can't be used: "
                            + newFile.faults().size()
                            + (newFile.faults().size() == 1 ? " fault" : " faults"));
        }
        if (standalone && !newFile.isWhole()) {
            throw new ConfigurationException(
                    path.toString(), "has no scheduler.listen, and GW_CONFIG is not set");
        }
        NodeConfiguration node =
                standalone
                        ? new NodeConfiguration(newFile.deployment(), environment)
                        : NodeConfiguration.read(environment);
        List<String> conflicts = platformConflicts(newFile, node.deployment);
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
     * Guards the rules for policies: they were checked against the file's profiles, but the
     * platform's profiles are in effect.
     */
    private static List<String> platformConflicts(OperatorFile newFile, Configuration platform) {
        List<String> conflicts = new ArrayList<>();
        newFile.profileFacts()
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

    /** Called on SIGHUP, on the signal's thread: the loop must not read files. */
    private void reload(Daemon daemon) {
        OperatorFile newFile = OperatorFile.read(path);
        if (!newFile.faults().isEmpty()) {
            logFaults(newFile.faults());
            logRefused(newFile.faults().size(), "faults");
            return;
        }
        NodeConfiguration node = null;
        try {
            node =
                    standalone
                            ? new NodeConfiguration(newFile.deployment(), environment)
                            : daemon.node;
        } catch (ConfigurationException e) {
            logRefused(1, e.getMessage());
            return;
        }
        List<String> conflicts =
                standalone
                        ? new ArrayList<>(changesNeedingRestart(daemon.node.tree(), node.tree()))
                        : platformConflicts(newFile, node.deployment);
        if (!conflicts.isEmpty()) {
            logRefused(
                    conflicts.size(),
                    (standalone ? "needs a restart: " : "") + String.join(", ", conflicts));
            return;
        }
        NodeConfiguration accepted = node;
        daemon.loop.submit(() -> apply(daemon, newFile, accepted));
    }

    private static void logRefused(int count, String why) {
        log().atError().addKeyValue("faults", count).addKeyValue("why", why).log("file.refused");
    }

    /** Applies a valid file, on the event loop. */
    private void apply(Daemon daemon, OperatorFile newFile, NodeConfiguration node) {
        double startedAt = daemon.loop.now();
        file = newFile;
        daemon.scheduler.reconfigure(
                new Routes(newFile.rules(), daemon.scheduler.routes()),
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
                .addKeyValue("files", newFile.files().size())
                .addKeyValue("routes", newFile.routeCount())
                .addKeyValue("ms", Math.round(daemon.reloadMs))
                .log("file.applied");
    }

    /** The keys that differ and cannot be changed without a restart. */
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
