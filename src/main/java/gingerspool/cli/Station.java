package gingerspool.cli;

import gingerspool.anemometer.Anemometer;
import gingerspool.barograph.LedgerException;
import gingerspool.barometer.Barometer;
import gingerspool.station.Settings;
import gingerspool.station.SettingsException;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import sun.misc.Signal;

/**
 * Starts one of the platform's two programs and ends it in order. Exit codes: 0 done, 1 can't run, 2
 * settings.
 */
public final class Station {
    private Station() { }

    public static int run(String program, Map<String, String> environment) {
        Logger log = LogManager.getLogger(Station.class);
        CountDownLatch ended = new CountDownLatch(1);
        try {
            Settings settings = Settings.read(environment);
            if (program.equals("barometer")) {
                Barometer b = new Barometer(settings);
                Signal.handle(new Signal("TERM"), s -> b.stop(ended::countDown));
                Signal.handle(new Signal("HUP"), s -> { });
                b.begin();
            } else {
                Anemometer a = new Anemometer(settings);
                Signal.handle(new Signal("TERM"), s -> a.stop(ended::countDown));
                Signal.handle(new Signal("HUP"), s -> again(a, environment, log));
                a.begin();
            }
            ended.await();
            return 0;
        } catch (SettingsException e) {
            log.error("settings.fault why=\"{}\"", e.getMessage());
            return 2;
        } catch (IOException | LedgerException e) {
            log.error("start.failed why=\"{}\"", e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** A file that can't be used changes nothing. */
    private static void again(Anemometer a, Map<String, String> environment, Logger log) {
        try {
            a.settings(Settings.read(environment));
        } catch (SettingsException e) {
            log.warn("settings.fault why=\"{}\"", e.getMessage());
        }
    }
}
