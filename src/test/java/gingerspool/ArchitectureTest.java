package gingerspool;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noMethods;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import gingerspool.consensus.ReplicaSettings;
import gingerspool.wire.EventLoop;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Holds the order of the packages, and that no program can take a safeguard out. */
public class ArchitectureTest {
    private final JavaClasses all =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("gingerspool");

    /** A test's event loop may answer that a safeguard is out; none of src/main does. */
    @Test
    public void noEventLoopOfTheProgramsTakesARequestSafeguardOut() {
        noMethods()
                .that()
                .areDeclaredInClassesThat()
                .areAssignableTo(EventLoop.class)
                .and()
                .areDeclaredInClassesThat()
                .areNotInterfaces()
                .should()
                .haveName("isEnabled")
                .check(all);
    }

    /** Only tests pass a set of disabled safeguards. */
    @Test
    public void noProgramDisablesAConsensusSafeguard() {
        noClasses()
                .that()
                .doNotBelongToAnyOf(ReplicaSettings.class)
                .should()
                .callConstructor(
                        ReplicaSettings.class,
                        int.class,
                        double.class,
                        List.class,
                        long.class,
                        int.class,
                        int.class,
                        Set.class)
                .check(all);
    }

    @Test
    public void eachPackageUsesOnlyThoseBelowIt() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("main")
                .definedBy("gingerspool")
                .layer("experiment")
                .definedBy("gingerspool.experiment..")
                .layer("rig")
                .definedBy("gingerspool.load..", "gingerspool.standin..", "gingerspool.judge..")
                .layer("scenario")
                .definedBy("gingerspool.scenario..")
                .layer("cli")
                .definedBy("gingerspool.cli..")
                .layer("program")
                .definedBy("gingerspool.dataplane..", "gingerspool.controlplane..")
                .layer("autoscaler")
                .definedBy("gingerspool.autoscaler..")
                .layer("slots")
                .definedBy("gingerspool.slots..")
                .layer("storage")
                .definedBy("gingerspool.storage..")
                .layer("codec")
                .definedBy("gingerspool.codec..")
                .layer("consensus")
                .definedBy("gingerspool.consensus..")
                .layer("configuration")
                .definedBy("gingerspool.configuration..")
                .layer("antientropy")
                .definedBy("gingerspool.antientropy..")
                .layer("settings")
                .definedBy("gingerspool.settings..")
                .layer("simhost")
                .definedBy("gingerspool.simhost..")
                .layer("daemon")
                .definedBy("gingerspool.daemon..")
                .layer("handover")
                .definedBy("gingerspool.handover..")
                .layer("config")
                .definedBy("gingerspool.config..")
                .layer("store")
                .definedBy("gingerspool.store..")
                .layer("wire")
                .definedBy("gingerspool.wire..")
                .layer("route")
                .definedBy("gingerspool.route..")
                .layer("toml")
                .definedBy("gingerspool.toml..")
                .layer("logging")
                .definedBy("gingerspool.logging..")
                .layer("dispatch")
                .definedBy("gingerspool.dispatch..")
                .whereLayer("main")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("cli")
                .mayOnlyBeAccessedByLayers("main")
                .whereLayer("experiment")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("rig")
                .mayOnlyBeAccessedByLayers("cli", "experiment")
                .whereLayer("scenario")
                .mayOnlyBeAccessedByLayers("cli", "experiment", "rig")
                .whereLayer("program")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("autoscaler")
                .mayOnlyBeAccessedByLayers("program")
                .whereLayer("slots")
                .mayOnlyBeAccessedByLayers("program", "autoscaler")
                .whereLayer("storage")
                .mayOnlyBeAccessedByLayers("program", "cli")
                .whereLayer("codec")
                .mayOnlyBeAccessedByLayers("program", "storage", "slots")
                .whereLayer("consensus")
                .mayOnlyBeAccessedByLayers("program", "storage", "codec")
                .whereLayer("configuration")
                .mayOnlyBeAccessedByLayers("program", "slots", "cli")
                .whereLayer("antientropy")
                .mayOnlyBeAccessedByLayers("program")
                .whereLayer("settings")
                .mayOnlyBeAccessedByLayers("program", "cli")
                .whereLayer("simhost")
                .mayOnlyBeAccessedByLayers("main", "cli")
                .whereLayer("daemon")
                .mayOnlyBeAccessedByLayers("main", "cli", "simhost", "experiment", "program")
                .whereLayer("config")
                .mayOnlyBeAccessedByLayers("cli", "daemon")
                .whereLayer("store")
                .mayOnlyBeAccessedByLayers("daemon", "program")
                .whereLayer("wire")
                .mayOnlyBeAccessedByLayers(
                        "daemon",
                        "handover",
                        "store",
                        "simhost",
                        "cli",
                        "experiment",
                        "rig",
                        "program",
                        "configuration",
                        "settings")
                .whereLayer("handover")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("toml")
                .mayOnlyBeAccessedByLayers(
                        "config", "cli", "daemon", "scenario", "experiment", "settings")
                .whereLayer("route")
                .mayOnlyBeAccessedByLayers("config", "daemon", "store", "program")
                .whereLayer("logging")
                .mayOnlyBeAccessedByLayers("cli", "daemon")
                .whereLayer("logging")
                .mayNotAccessAnyLayer()
                .check(all);
    }
}
