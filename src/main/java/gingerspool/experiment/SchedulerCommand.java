package gingerspool.experiment;

import gingerspool.scenario.Scenario;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * How a scheduler is started for an experiment: as it is deployed, with the flags of
 * deploy/balancer.toml, so that a start costs what it costs in service.
 */
final class SchedulerCommand {
    /** All flags of the deployed command but the archive of classes. */
    static final List<String> FLAGS =
            List.of(
                    "-Djava.net.preferIPv4Stack=true",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Djava.locale.providers=COMPAT",
                    "-Xshare:auto",
                    "-XX:-UsePerfData",
                    "-Xms48m",
                    "-Xmx80m",
                    "-Xss512k",
                    "-XX:ReservedCodeCacheSize=24m",
                    "-XX:MaxMetaspaceSize=40m",
                    "-XX:MaxDirectMemorySize=16m",
                    "-Djdk.nio.maxCachedBufferSize=65536",
                    "-XX:+ExitOnOutOfMemoryError");

    private static final String JAR_SUFFIX = ".jar";
    private static final String ARCHIVE_SUFFIX = ".jsa";

    private SchedulerCommand() {}

    /** The command of the scheduler with this number, on this side of a comparison. */
    static List<String> of(Run.Side side, Scenario.Schedulers schedulers, int i) {
        List<String> command = new ArrayList<>();
        if (schedulers.pinFrom >= 0) {
            command.addAll(List.of("taskset", "-c", Integer.toString(schedulers.pinFrom + i)));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(FLAGS);
        command.addAll(archive(side.classPath()));
        command.addAll(absolute(side.classPath()));
        command.add("serve");
        if (side.file() != null) {
            command.add("--file");
            command.add(side.file().toAbsolutePath().toString());
        }
        return command;
    }

    /** A jar is named by its whole path, wherever the scheduler is started. */
    private static List<String> absolute(List<String> classPath) {
        return isJar(classPath)
                ? List.of(classPath.get(0), Path.of(classPath.get(1)).toAbsolutePath().toString())
                : classPath;
    }

    private static boolean isJar(List<String> classPath) {
        return classPath.get(0).equals("-jar") && classPath.get(1).endsWith(JAR_SUFFIX);
    }

    /**
     * The archive of classes, where one lies beside the jar and is not older than it; a virtual
     * machine that finds it unfit starts without it.
     */
    private static List<String> archive(List<String> classPath) {
        if (!isJar(classPath)) {
            return List.of();
        }
        String jar = absolute(classPath).get(1);
        String stem = jar.substring(0, jar.length() - JAR_SUFFIX.length());
        Path archive = Path.of(stem + ARCHIVE_SUFFIX);
        return isFit(archive, Path.of(jar))
                ? List.of("-XX:SharedArchiveFile=" + archive)
                : List.of();
    }

    /**
     * The folder that a scheduler is started in: the one that the deployed command is run in, whose
     * `target` holds the jar, since an archive names its jar as seen from there; null for the
     * tool's own.
     */
    static File directory(Run.Side side) {
        if (archive(side.classPath()).isEmpty()) {
            return null;
        }
        Path target = Path.of(side.classPath().get(1)).toAbsolutePath().getParent();
        return target.getParent() == null ? null : target.getParent().toFile();
    }

    private static boolean isFit(Path archive, Path jar) {
        try {
            return Files.exists(archive)
                    && Files.getLastModifiedTime(archive).compareTo(Files.getLastModifiedTime(jar))
                            >= 0;
        } catch (IOException e) {
            return false;
        }
    }
}
