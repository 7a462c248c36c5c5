package gingerspool.daemon;

import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.Outcome;
import gingerspool.store.ClientTask;
import java.util.Arrays;
import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs one line for each step of each task, so that the outcomes of all tasks can be added up over
 * all schedulers. Called by {@link Scheduler}. Off unless enabled with
 * -Dorg.slf4j.simpleLogger.log.trace=debug; bench/fleet.py reads the lines.
 */
final class Trace {
    private static final Logger LOG = LoggerFactory.getLogger("trace");

    private Trace() {}

    static void arrived(ClientTask t) {
        if (LOG.isDebugEnabled()) {
            LOG.atDebug()
                    .addKeyValue("task", t.id)
                    .addKeyValue("profile", t.profile.name)
                    .addKeyValue("repeat", t.repeat)
                    .log("task.arrived");
        }
    }

    static void sent(Assignment a, String worker, boolean connects) {
        if (LOG.isDebugEnabled()) {
            LOG.atDebug()
                    .addKeyValue("task", a.task.id)
                    .addKeyValue("n", a.number)
                    .addKeyValue("worker", worker)
                    .addKeyValue("connects", connects)
                    .addKeyValue("believed", a.estimates())
                    .log("assignment.sent");
        }
    }

    static void ended(Assignment a, String worker, Outcome outcome, double[] report) {
        if (LOG.isDebugEnabled()) {
            LOG.atDebug()
                    .addKeyValue("task", a.task.id)
                    .addKeyValue("n", a.number)
                    .addKeyValue("worker", worker)
                    .addKeyValue("how", outcome.name().toLowerCase(Locale.ROOT))
                    .addKeyValue(
                            "report",
                            report == null ? "" : Arrays.toString(report).replace(" ", ""))
                    .log("assignment.ended");
        }
    }

    static void answered(double at, ClientTask t, String how) {
        if (LOG.isDebugEnabled()) {
            LOG.atDebug()
                    .addKeyValue("task", t.id)
                    .addKeyValue("how", how)
                    .addKeyValue("due_in", t.dueIn(at))
                    .log("task.answered");
        }
    }
}
