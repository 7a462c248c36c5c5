package gingerspool.simhost;

import gingerspool.daemon.Configuration;
import gingerspool.daemon.ConfigurationException;
import gingerspool.dispatch.Assignment;
import gingerspool.dispatch.DispatchActions;
import gingerspool.dispatch.Dispatcher;
import gingerspool.dispatch.Outcome;
import gingerspool.dispatch.Report;
import gingerspool.dispatch.Task;
import gingerspool.wire.JsonTree;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

/**
 * One scheduler of the simulation: passes the simulator's events to a Dispatcher and appends the
 * Dispatcher's actions to the reply. Maps the task ids and worker names of the protocol to the
 * Dispatcher's tasks and worker indexes. Called by SimHost on its thread; times and durations are
 * milliseconds of simulated time.
 */
final class Instance implements DispatchActions {
    private final String id;
    private final StringBuilder reply;
    private final Dispatcher dispatcher;
    private final Map<String, Task> tasks = new HashMap<>();
    private final Map<String, Integer> workerIndexes = new HashMap<>();
    private final List<String> workerNames = new ArrayList<>();
    private final Configuration configuration;
    private final double[] report = new double[Report.SIZE];

    Instance(String id, long seed, Object settings, StringBuilder reply)
            throws ConfigurationException {
        this.id = id;
        this.reply = reply;
        configuration = new Configuration(settings);
        dispatcher = new Dispatcher(configuration.settings, seed, this);
    }

    // ---- Events ----

    /** Handles one event; the pages hold the worker lists that a FLEET event refers to. */
    void handle(String eventName, double timeMs, Fields fields, List<?>[] pages)
            throws WireException {
        switch (eventName) {
            case "INGRESS" -> handleArrival(timeMs, fields);
            case "RESPONSE" -> handleOutcome(timeMs, fields);
            case "HINT_UPDATE" -> handleProgress(timeMs, fields);
            case "HEALTH" -> {
                if (fields.text("how").equals("timeout") || fields.text("how").equals("full")) {
                    dispatcher.reportMissing(timeMs, workerIndex(fields));
                } else {
                    dispatcher.reportReceived(timeMs, workerIndex(fields), readReport(fields));
                }
            }
            case "FIRED" -> dispatcher.wake(timeMs);
            case "ABANDONED" -> {
                Task task = tasks.get(fields.text("xid"));
                if (task != null) {
                    dispatcher.clientLeft(timeMs, task);
                    removeIfComplete(task);
                }
            }
            case "FLEET" -> handleWorkerList(timeMs, fields, pages);
            case "ACCEPTED" -> {
                Assignment assignment = findAssignment(fields);
                if (assignment != null) {
                    dispatcher.accepted(timeMs, assignment);
                }
            }
            case "NEIGHBOUR_SAYS" -> {
                dispatcher.peerMessageReceived(
                        timeMs,
                        (int) fields.integer("who"),
                        HexFormat.of().parseHex(fields.text("payload")));
            }
            default -> throw new WireException("unknown event");
        }
    }

    private void handleArrival(double timeMs, Fields fields) throws WireException {
        Task task = new Task(fields.text("xid"));
        task.profile = configuration.profiles.get(fields.text("kind"));
        if (task.profile == null) {
            throw new WireException("field kind names an unknown profile: " + fields.text("kind"));
        }
        String owner = fields.textOr("owner", null);
        task.tenant = owner == null ? -1 : configuration.tenants.getOrDefault(owner, -1);
        task.expiry = fields.number("notAfterMs");
        task.hint = fields.numberOr("workMs", 0);
        task.width = (int) fields.numberOr("width", 1);
        task.memory = fields.numberOr("memNeeded", 0);
        task.repeat = fields.flag("repeat");
        tasks.put(task.id, task);
        dispatcher.arrived(timeMs, task);
        removeIfComplete(task);
    }

    private void handleOutcome(double timeMs, Fields fields) throws WireException {
        Assignment assignment = findAssignment(fields);
        String how = fields.text("how");
        Outcome outcome =
                switch (how) {
                    case "ok" -> Outcome.OK;
                    case "error" -> Outcome.ERROR;
                    case "full" -> Outcome.FULL;
                    case "timeout" -> Outcome.TIMEOUT;
                    case "connect_failed" -> Outcome.UNREACHABLE;
                    case "reset" -> Outcome.RESET;
                    case "cancelled" -> Outcome.CANCELLED;
                    case "moot" -> Outcome.MOOT;
                    default -> throw new WireException("field how is not a known outcome: " + how);
                };
        if (assignment == null) {
            throw new WireException("no such assignment: " + fields.text("xid"));
        }
        dispatcher.ended(timeMs, assignment, outcome, fields.flag("over"), readReport(fields));
        removeIfComplete(assignment.task);
    }

    private void handleProgress(double timeMs, Fields fields) throws WireException {
        Assignment assignment = findAssignment(fields);
        if (assignment == null) {
            return;
        }
        if (fields.number("topic") == 1) {
            dispatcher.started(timeMs, assignment);
        } else {
            dispatcher.progressed(timeMs, assignment, fields.numberOr("amount", 0));
        }
    }

    private void handleWorkerList(double timeMs, Fields fields, List<?>[] pages)
            throws WireException {
        String form = fields.text("form");
        if (form.equals("refused")) {
            dispatcher.listFailed(timeMs);
            return;
        }
        boolean complete = !form.equals("changes");
        int page = (int) fields.numberOr("page", 0);
        if (page < 0 || page >= pages.length || pages[page] == null) {
            throw new WireException("no such page: " + page);
        }
        dispatcher.listBegins(timeMs, complete);
        for (Object entry : pages[page]) {
            String name = JsonTree.text(null, entry, "worker");
            if (name == null) {
                throw new WireException("field worker of a list entry is missing");
            }
            int state =
                    switch (JsonTree.text("", entry, "stageState")) {
                        case "Running" -> Dispatcher.RUNNING;
                        case "Stopping" -> Dispatcher.DRAINING;
                        default -> Dispatcher.GONE;
                    };
            dispatcher.listed(
                    workerIndexes.computeIfAbsent(name, this::registerWorker),
                    configuration.zones.getOrDefault(JsonTree.text("", entry, "site"), -1),
                    configuration.kinds.getOrDefault(JsonTree.text("", entry, "classOfHost"), 0),
                    (int) JsonTree.number(0, entry, "bay"),
                    state,
                    JsonTree.number(1, entry, "capacityHint"),
                    JsonTree.number(0, entry, "readyAtMs"));
        }
        dispatcher.listEnds(timeMs, complete, form.equals("remembered"));
    }

    /** Assigns the next index to a worker that has not been listed before. */
    private int registerWorker(String name) {
        workerNames.add(name);
        dispatcher.workerNamed(workerNames.size() - 1, name);
        return workerNames.size() - 1;
    }

    /** The index of the worker that the event names, which must have been listed. */
    private int workerIndex(Fields fields) throws WireException {
        Integer index = workerIndexes.get(fields.text("worker"));
        if (index == null) {
            throw new WireException(
                    "field worker names an unlisted worker: " + fields.text("worker"));
        }
        return index;
    }

    /** The assignment that the event names, or null if it is unknown or its task was removed. */
    private Assignment findAssignment(Fields fields) throws WireException {
        Task task = tasks.get(fields.text("xid"));
        return task == null ? null : task.assignment((int) fields.numberOr("n", 0));
    }

    /** Removes a task that has been answered and has no outstanding assignments. */
    private void removeIfComplete(Task task) {
        if (task.ended() && task.outstanding() == 0) {
            tasks.remove(task.id);
        }
    }

    /** The load report in the event's metrics, or null; the array is reused by each call. */
    private double[] readReport(Fields fields) throws WireException {
        Object metrics = fields.valueOr("metrics", null);
        if (metrics == null) {
            return null;
        }
        Arrays.fill(report, Double.NaN);
        configuration.reportIndexes.forEach(
                (name, index) -> {
                    if (index >= 0) {
                        report[index] = JsonTree.number(Double.NaN, metrics, name);
                    }
                });
        return report;
    }

    // ---- Actions ----

    /** Begins an action in the reply; endAction() completes it. */
    private StringBuilder beginAction(String name) {
        return reply.append("{\"")
                .append(name)
                .append("\":{\"schedulerId\":\"")
                .append(id)
                .append('"');
    }

    private StringBuilder beginTaskAction(String name, Task task) {
        return beginAction(name).append(",\"xid\":\"").append(task.id).append('"');
    }

    /** Appends a duration, rounded to microseconds; a duration of 0 is omitted. */
    private void appendMillis(String name, double ms) {
        if (ms != 0) {
            reply.append(",\"").append(name).append("\":").append(Math.rint(ms * 1000) / 1000);
        }
    }

    private void endAction() {
        reply.append("}}\n");
    }

    @Override
    public void send(Assignment assignment, double timeoutMs) {
        beginTaskAction("ROUTE", assignment.task)
                .append(",\"worker\":\"")
                .append(workerNames.get(assignment.worker))
                .append('"');
        appendMillis("timeoutMs", timeoutMs);
        endAction();
    }

    @Override
    public void bounce(Task task, double pauseMs) {
        beginTaskAction("NOT_NOW", task);
        appendMillis("pauseMs", pauseMs);
        endAction();
        removeIfComplete(task);
    }

    @Override
    public void abandon(Task task) {
        beginTaskAction("FINISH_ERROR", task);
        endAction();
        removeIfComplete(task);
    }

    @Override
    public void cancel(Assignment assignment) {
        beginTaskAction("REVOKE", assignment.task).append(",\"n\":").append(assignment.number);
        endAction();
    }

    @Override
    public void probe(int worker) {
        beginAction("ASK_LOAD")
                .append(",\"worker\":\"")
                .append(workerNames.get(worker))
                .append('"');
        endAction();
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        beginAction("POST")
                .append(",\"peer\":")
                .append(peer)
                .append(",\"payload\":\"")
                .append(HexFormat.of().formatHex(message))
                .append('"');
        endAction();
    }

    @Override
    public void watchList() {
        beginAction("STREAM_CHANGES").append(",\"active\":true");
        endAction();
    }

    @Override
    public void wakeAfter(double delayMs) {
        beginAction("NOTIFY_ME");
        appendMillis("spanMs", Math.max(0.001, delayMs));
        reply.append(",\"cookie\":0");
        endAction();
    }
}
