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
 * One scheduler of the simulator: a Dispatcher, and the names under which the wire knows what it
 * holds.
 */
final class Instance implements DispatchActions {
    private final String id;
    private final StringBuilder reply;
    private final Dispatcher dispatcher;
    private final Map<String, Task> tasks = new HashMap<>();
    private final Map<String, Integer> workers = new HashMap<>();
    private final List<String> workerNames = new ArrayList<>();
    private final Configuration deployment;
    private final double[] report = new double[Report.SIZE];

    Instance(String id, long seed, Object settings, StringBuilder reply)
            throws ConfigurationException {
        this.id = id;
        this.reply = reply;
        deployment = new Configuration(settings);
        dispatcher = new Dispatcher(deployment.settings, seed, this);
    }

    // ---- Events ----

    void event(String name, double at, Fields f, List<?>[] pages) throws WireException {
        switch (name) {
            case "INGRESS" -> arrived(at, f);
            case "RESPONSE" -> ended(at, f);
            case "HINT_UPDATE" -> note(at, f);
            case "HEALTH" -> {
                if (f.text("how").equals("timeout") || f.text("how").equals("full")) {
                    dispatcher.reportMissing(at, worker(f));
                } else {
                    dispatcher.reportReceived(at, worker(f), report(f));
                }
            }
            case "FIRED" -> dispatcher.wake(at);
            case "ABANDONED" -> {
                Task t = tasks.get(f.text("xid"));
                if (t != null) {
                    dispatcher.clientLeft(at, t);
                    forget(t);
                }
            }
            case "FLEET" -> fleet(at, f, pages);
            case "ACCEPTED" -> {
                Assignment a = assignment(f);
                if (a != null) {
                    dispatcher.accepted(at, a);
                }
            }
            case "NEIGHBOUR_SAYS" -> {
                dispatcher.peerMessageReceived(
                        at, (int) f.whole("who"), HexFormat.of().parseHex(f.text("payload")));
            }
            default -> throw new WireException("unknown event");
        }
    }

    private void arrived(double at, Fields f) throws WireException {
        Task t = new Task(f.text("xid"));
        t.profile = deployment.profiles.get(f.text("kind"));
        if (t.profile == null) {
            throw new WireException("field kind names no profile: " + f.text("kind"));
        }
        String owner = f.textOr("owner", null);
        t.tenant = owner == null ? -1 : deployment.tenants.getOrDefault(owner, -1);
        t.expiry = f.number("notAfterMs");
        t.hint = f.numberOr("workMs", 0);
        t.width = (int) f.numberOr("width", 1);
        t.memory = f.numberOr("memNeeded", 0);
        t.repeat = f.mark("repeat");
        tasks.put(t.id, t);
        dispatcher.arrived(at, t);
        forget(t);
    }

    private void ended(double at, Fields f) throws WireException {
        Assignment a = assignment(f);
        String how = f.text("how");
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
                    default -> throw new WireException("field how is no outcome: " + how);
                };
        if (a == null) {
            throw new WireException("no such assignment: " + f.text("xid"));
        }
        dispatcher.ended(at, a, outcome, f.mark("over"), report(f));
        forget(a.task);
    }

    private void note(double at, Fields f) throws WireException {
        Assignment a = assignment(f);
        if (a == null) {
            return;
        }
        if (f.number("topic") == 1) {
            dispatcher.started(at, a);
        } else {
            dispatcher.progressed(at, a, f.numberOr("amount", 0));
        }
    }

    private void fleet(double at, Fields f, List<?>[] pages) throws WireException {
        String form = f.text("form");
        if (form.equals("refused")) {
            dispatcher.listFailed(at);
            return;
        }
        boolean whole = !form.equals("changes");
        int page = (int) f.numberOr("page", 0);
        if (page < 0 || page >= pages.length || pages[page] == null) {
            throw new WireException("no such page: " + page);
        }
        dispatcher.listBegins(at, whole);
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
                    workers.computeIfAbsent(name, this::newWorker),
                    deployment.zones.getOrDefault(JsonTree.text("", entry, "site"), -1),
                    deployment.kinds.getOrDefault(JsonTree.text("", entry, "classOfHost"), 0),
                    (int) JsonTree.number(0, entry, "bay"),
                    state,
                    JsonTree.number(1, entry, "capacityHint"),
                    JsonTree.number(0, entry, "readyAtMs"));
        }
        dispatcher.listEnds(at, whole, form.equals("remembered"));
    }

    private int newWorker(String name) {
        workerNames.add(name);
        dispatcher.workerNamed(workerNames.size() - 1, name);
        return workerNames.size() - 1;
    }

    private int worker(Fields f) throws WireException {
        Integer w = workers.get(f.text("worker"));
        if (w == null) {
            throw new WireException("field worker names none in the list: " + f.text("worker"));
        }
        return w;
    }

    private Assignment assignment(Fields f) throws WireException {
        Task t = tasks.get(f.text("xid"));
        return t == null ? null : t.assignment((int) f.numberOr("n", 0));
    }

    /** A task is kept until it has its answer and nothing is out. */
    private void forget(Task t) {
        if (t.ended() && t.outstanding() == 0) {
            tasks.remove(t.id);
        }
    }

    private double[] report(Fields f) throws WireException {
        Object metrics = f.valueOr("metrics", null);
        if (metrics == null) {
            return null;
        }
        Arrays.fill(report, Double.NaN);
        deployment.reportIndexes.forEach(
                (name, place) -> {
                    if (place >= 0) {
                        report[place] = JsonTree.number(Double.NaN, metrics, name);
                    }
                });
        return report;
    }

    // ---- Actions ----

    private StringBuilder line(String name) {
        return reply.append("{\"")
                .append(name)
                .append("\":{\"schedulerId\":\"")
                .append(id)
                .append('"');
    }

    private StringBuilder taskLine(String name, Task t) {
        return line(name).append(",\"xid\":\"").append(t.id).append('"');
    }

    private void span(String name, double ms) {
        if (ms != 0) {
            reply.append(",\"").append(name).append("\":").append(Math.rint(ms * 1000) / 1000);
        }
    }

    private void end() {
        reply.append("}}\n");
    }

    @Override
    public void send(Assignment a, double timeout) {
        taskLine("ROUTE", a.task)
                .append(",\"worker\":\"")
                .append(workerNames.get(a.worker))
                .append('"');
        span("timeoutMs", timeout);
        end();
    }

    @Override
    public void bounce(Task t, double pause) {
        taskLine("NOT_NOW", t);
        span("pauseMs", pause);
        end();
        forget(t);
    }

    @Override
    public void abandon(Task t) {
        taskLine("FINISH_ERROR", t);
        end();
        forget(t);
    }

    @Override
    public void cancel(Assignment a) {
        taskLine("REVOKE", a.task).append(",\"n\":").append(a.number);
        end();
    }

    @Override
    public void probe(int worker) {
        line("ASK_LOAD").append(",\"worker\":\"").append(workerNames.get(worker)).append('"');
        end();
    }

    @Override
    public void sendToPeer(int other, byte[] word) {
        line("POST")
                .append(",\"peer\":")
                .append(other)
                .append(",\"payload\":\"")
                .append(HexFormat.of().formatHex(word))
                .append('"');
        end();
    }

    @Override
    public void watchList() {
        line("STREAM_CHANGES").append(",\"active\":true");
        end();
    }

    @Override
    public void wakeAfter(double span) {
        line("NOTIFY_ME");
        span("spanMs", Math.max(0.001, span));
        reply.append(",\"cookie\":0");
        end();
    }
}
