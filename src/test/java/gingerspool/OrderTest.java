package gingerspool;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.Test;

/** Holds the order of the packages: each uses only those below it. */
public class OrderTest {
    @Test
    public void eachPackageUsesOnlyThoseBelowIt() {
        JavaClasses all = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("gingerspool");
        layeredArchitecture().consideringOnlyDependenciesInLayers()
            .layer("main").definedBy("gingerspool")
            .layer("experiment").definedBy("gingerspool.experiment..")
            .layer("rig").definedBy("gingerspool.load..", "gingerspool.standin..", "gingerspool.judge..")
            .layer("scenario").definedBy("gingerspool.scenario..")
            .layer("cli").definedBy("gingerspool.cli..")
            .layer("program").definedBy("gingerspool.anemometer..", "gingerspool.barometer..")
            .layer("raingauge").definedBy("gingerspool.raingauge..")
            .layer("hygrometer").definedBy("gingerspool.hygrometer..")
            .layer("barograph").definedBy("gingerspool.barograph..")
            .layer("radiosonde").definedBy("gingerspool.radiosonde..")
            .layer("weathervane").definedBy("gingerspool.weathervane..")
            .layer("almanac").definedBy("gingerspool.almanac..")
            .layer("thermograph").definedBy("gingerspool.thermograph..")
            .layer("station").definedBy("gingerspool.station..")
            .layer("simhost").definedBy("gingerspool.simhost..")
            .layer("daemon").definedBy("gingerspool.daemon..")
            .layer("handover").definedBy("gingerspool.handover..")
            .layer("config").definedBy("gingerspool.config..")
            .layer("store").definedBy("gingerspool.store..")
            .layer("wire").definedBy("gingerspool.wire..")
            .layer("route").definedBy("gingerspool.route..")
            .layer("toml").definedBy("gingerspool.toml..")
            .layer("dispatch").definedBy("gingerspool.dispatch..")
            .whereLayer("main").mayNotBeAccessedByAnyLayer()
            .whereLayer("cli").mayOnlyBeAccessedByLayers("main")
            .whereLayer("experiment").mayOnlyBeAccessedByLayers("cli")
            .whereLayer("rig").mayOnlyBeAccessedByLayers("cli", "experiment")
            .whereLayer("scenario").mayOnlyBeAccessedByLayers("cli", "experiment", "rig")
            .whereLayer("program").mayOnlyBeAccessedByLayers("cli")
            .whereLayer("raingauge").mayOnlyBeAccessedByLayers("program")
            .whereLayer("hygrometer").mayOnlyBeAccessedByLayers("program", "raingauge")
            .whereLayer("barograph").mayOnlyBeAccessedByLayers("program", "cli")
            .whereLayer("radiosonde").mayOnlyBeAccessedByLayers("program", "barograph", "hygrometer")
            .whereLayer("weathervane").mayOnlyBeAccessedByLayers("program", "barograph", "radiosonde")
            .whereLayer("almanac").mayOnlyBeAccessedByLayers("program", "hygrometer", "cli")
            .whereLayer("thermograph").mayOnlyBeAccessedByLayers("program")
            .whereLayer("station").mayOnlyBeAccessedByLayers("program", "cli")
            .whereLayer("simhost").mayOnlyBeAccessedByLayers("main", "cli")
            .whereLayer("daemon").mayOnlyBeAccessedByLayers("main", "cli", "simhost", "experiment",
                "program")
            .whereLayer("config").mayOnlyBeAccessedByLayers("cli", "daemon")
            .whereLayer("store").mayOnlyBeAccessedByLayers("daemon", "program")
            .whereLayer("wire").mayOnlyBeAccessedByLayers("daemon", "handover", "store", "simhost", "cli",
                "experiment", "rig", "program", "almanac", "station")
            .whereLayer("handover").mayOnlyBeAccessedByLayers("daemon")
            .whereLayer("toml").mayOnlyBeAccessedByLayers("config", "cli", "daemon", "scenario",
                "experiment", "station")
            .whereLayer("route").mayOnlyBeAccessedByLayers("config", "daemon", "store", "program")
            .check(all);
    }
}
