package gingerspool.judge;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The clients' record and the execution log as they were written; nothing is concluded here. Times
 * are Unix ms.
 */
final class Records {
    /** What is asked for, as the clients' record tells. */
    record Kind(
            String name,
            String effect,
            double due,
            double expiry,
            double window,
            String scope,
            double utility,
            double tardy) {}

    /**
     * One try of a request and its end; `written` is when the time that it had left was told, or
     * NaN where the record does not say.
     */
    record Try(
            int line,
            int request,
            int number,
            String id,
            String profile,
            String tenant,
            int scheduler,
            double due,
            double sent,
            double expiry,
            String status,
            double at,
            double advice,
            boolean reused,
            String result,
            double written) {
        boolean isAnswered() {
            return status.matches("[0-9]+");
        }

        boolean isBounced() {
            return status.equals("503") || status.equals("429");
        }
    }

    /** Something that came on a connection and that no request was owed. */
    record Extra(int line, String id, int scheduler, double at) {}

    /** A line of the execution log. */
    record Event(
            int line,
            double at,
            String who,
            String what,
            String task,
            int scheduler,
            String detail) {
        /** The number behind this name in the detail, or the other. */
        double number(String name, double other) {
            for (String part : detail.split(" ")) {
                if (part.startsWith(name + "=")) {
                    return Double.parseDouble(part.substring(name.length() + 1));
                }
            }
            return other;
        }

        String text(String name) {
            for (String part : detail.split(" ")) {
                if (part.startsWith(name + "=")) {
                    return part.substring(name.length() + 1);
                }
            }
            return "";
        }
    }

    /** One call of an operator; the answer is a status, or 0 where none came. */
    record OperatorCall(
            int line,
            int scheduler,
            String path,
            double sent,
            double ended,
            int answer,
            boolean owed) {}

    /** What befell a scheduler. */
    record Befell(int scheduler, String what, double at) {}

    final Map<String, Kind> kinds = new LinkedHashMap<>();
    final List<Try> tries = new ArrayList<>();
    final List<Extra> extras = new ArrayList<>();
    final List<Befell> schedulers = new ArrayList<>();
    final List<OperatorCall> operatorCalls = new ArrayList<>();
    final List<Event> events = new ArrayList<>();
    final Disturbances disturbances = new Disturbances();

    /** The events of each task, in order. */
    final Map<String, List<Event>> byTask = new HashMap<>();

    double begun;
    double length;

    Records(Path clients, Path executions) throws IOException {
        int n = 0;
        for (String text : Files.readAllLines(clients)) {
            n++;
            client(n, text.split("\t", -1), clients);
        }
        n = 0;
        for (String text : Files.readAllLines(executions)) {
            n++;
            String[] f = text.split("\t", -1);
            if (f.length != 6) {
                throw new IOException(executions + ":" + n + ": is no line of an execution log");
            }
            Event e =
                    new Event(
                            n,
                            Double.parseDouble(f[0]),
                            f[1],
                            f[2],
                            f[3],
                            f[4].equals("-") ? -1 : Integer.parseInt(f[4]),
                            f[5]);
            events.add(e);
            if (!e.task.equals("-")) {
                byTask.computeIfAbsent(e.task, k -> new ArrayList<>()).add(e);
            }
        }
    }

    private void client(int n, String[] f, Path file) throws IOException {
        try {
            switch (f[0]) {
                case "kind" ->
                        kinds.put(
                                f[1],
                                new Kind(
                                        f[1],
                                        f[2],
                                        number(f[3]),
                                        number(f[4]),
                                        number(f[5]),
                                        f[6],
                                        number(f[7]),
                                        number(f[8])));
                case "begin" -> {
                    begun = number(f[1]);
                    length = number(f[2]);
                }
                case "scheduler" -> {
                    int scheduler = Integer.parseInt(f[1]);
                    schedulers.add(new Befell(scheduler, f[2], number(f[3])));
                    disturbances.scheduler(scheduler, f[2], number(f[3]));
                    if (f.length > 5 && Integer.parseInt(f[5]) > 0 || f[2].equals("heir-killed")) {
                        disturbances.othersLived(scheduler, number(f[3]));
                    }
                }
                case "tool" -> {
                    if (f[1].equals("late")) {
                        disturbances.toolLate(number(f[2]), number(f[3]));
                    } else {
                        disturbances.tool(f[1], number(f[2]));
                    }
                }
                case "disk" -> {
                    // It explains nothing by itself: who waits for it is told by other lines.
                }
                case "operators" ->
                        operatorCalls.add(
                                new OperatorCall(
                                        n,
                                        Integer.parseInt(f[1]),
                                        f[2],
                                        number(f[3]),
                                        number(f[4]),
                                        Integer.parseInt(f[5]),
                                        Boolean.parseBoolean(f[6])));
                case "extra" ->
                        extras.add(new Extra(n, f[1], Integer.parseInt(f[2]), number(f[3])));
                case "try" ->
                        tries.add(
                                new Try(
                                        n,
                                        Integer.parseInt(f[1]),
                                        Integer.parseInt(f[2]),
                                        f[3],
                                        f[4],
                                        f[5],
                                        Integer.parseInt(f[6]),
                                        number(f[7]),
                                        number(f[8]),
                                        number(f[9]),
                                        f[10],
                                        number(f[11]),
                                        number(f[12]),
                                        Boolean.parseBoolean(f[13]),
                                        f[14],
                                        f.length > 15 ? number(f[15]) : Double.NaN));
                default ->
                        throw new IOException(file + ":" + n + ": is no line of a clients' record");
            }
        } catch (RuntimeException e) {
            throw new IOException(file + ":" + n + ": is no line of a clients' record", e);
        }
    }

    private static double number(String text) {
        return Double.parseDouble(text);
    }
}
