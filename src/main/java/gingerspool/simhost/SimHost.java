package gingerspool.simhost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import gingerspool.daemon.ConfigurationException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runs schedulers for a simulator: reads batches of events as JSON objects and writes the resulting
 * actions as one reply per batch. Each scheduler id has its own Instance. Started by the command
 * line; everything runs on the calling thread.
 */
public final class SimHost {
    /** The number of worker lists that PAGE messages can store. */
    private static final int MAX_PAGES = 16;

    private final Map<String, Instance> instances = new HashMap<>();
    private final List<?>[] pages = new List<?>[MAX_PAGES];
    private final StringBuilder reply = new StringBuilder(1 << 16);
    private final Fields fields = new Fields();

    /** Simulated time of the current batch in milliseconds. */
    private double timeMs;

    /** The current batch, -1 before the first; only for error messages and replies. */
    private long batch = -1;

    private String eventName = "";

    private SimHost() {}

    /**
     * Runs until the input ends and returns the exit code. A message that violates the protocol
     * ends the run with 1 and one line on err; the reply of its batch is not written.
     */
    public static int run(InputStream in, OutputStream out, PrintStream err) {
        SimHost host = new SimHost();
        try (JsonParser parser = new JsonFactory().createParser(in)) {
            host.processMessages(parser, out);
            return 0;
        } catch (JsonProcessingException e) {
            host.printError(err, "invalid JSON: " + e.getOriginalMessage());
        } catch (WireException e) {
            host.printError(err, e.getMessage());
        } catch (IOException e) {
            host.printError(err, "input or output failed: " + e.getMessage());
        }
        return 1;
    }

    private void printError(PrintStream err, String problem) {
        err.println(
                ("gingerspool simhost: batch "
                                + (batch < 0 ? "none" : batch)
                                + ", event "
                                + (eventName.isEmpty() ? "none" : eventName)
                                + ": "
                                + problem)
                        .replaceAll("[\\r\\n]+", " "));
    }

    private void processMessages(JsonParser in, OutputStream out)
            throws IOException, WireException {
        boolean inBatch = false;
        for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
            eventName = "";
            if (token != JsonToken.START_OBJECT || in.nextToken() != JsonToken.FIELD_NAME) {
                throw new WireException("a message must be an object with one key");
            }
            eventName = in.currentName();
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new WireException("the message's value must be an object");
            }
            fields.read(in);
            if (in.nextToken() != JsonToken.END_OBJECT) {
                throw new WireException("a message must have one key");
            }
            if (inBatch == eventName.equals("MARK")) {
                throw new WireException(
                        inBatch ? "a batch began inside another" : "message outside a batch");
            }
            switch (eventName) {
                case "MARK" -> {
                    timeMs = fields.number("tMs");
                    batch = fields.integer("batch");
                    reply.setLength(0);
                    inBatch = true;
                }
                case "OVER_TO_YOU" -> {
                    reply.append("{\"DONE\":{\"batch\":").append(batch).append("}}\n");
                    out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    inBatch = false;
                }
                default -> handleEvent();
            }
        }
        if (inBatch) {
            throw new WireException("the input ended inside a batch");
        }
    }

    private void handleEvent() throws WireException {
        if (eventName.equals("PAGE")) {
            double page = fields.numberOr("page", 0);
            Object list = fields.valueOr("nodesList", List.of());
            if (page < 0 || page >= MAX_PAGES || !(list instanceof List<?> entries)) {
                throw new WireException("page is out of range or nodesList is not a list");
            }
            pages[(int) page] = entries;
            return;
        }
        String id = fields.text("schedulerId");
        if (eventName.equals("CONFIGURE")) {
            long seed = fields.integer("initSeed");
            Object settings = fields.valueOr("settings", null);
            if (!(settings instanceof Map)) {
                throw new WireException("field settings is missing or not an object");
            }
            instances.remove(id);
            try {
                instances.put(id, new Instance(id, seed, settings, reply));
            } catch (ConfigurationException | RuntimeException e) {
                appendFault(id, "these settings can't be used: " + e.getMessage());
            }
            return;
        }
        if (eventName.equals("EXIT")) {
            instances.remove(id);
            return;
        }
        Instance instance = instances.get(id);
        if (instance == null) {
            throw new WireException("event for scheduler " + id + ", which was not configured");
        }
        try {
            instance.handle(eventName, timeMs, fields, pages);
        } catch (RuntimeException e) {
            StackTraceElement[] stackTrace = e.getStackTrace();
            appendFault(
                    id,
                    "the scheduler failed on event "
                            + eventName
                            + ": "
                            + e
                            + (stackTrace.length > 0 ? " at " + stackTrace[0] : ""));
        }
    }

    /** Appends a fault to the reply; quotes, backslashes and all but printable ASCII become `?`. */
    private void appendFault(String id, String text) {
        reply.append("{\"FAULT\":{\"schedulerId\":\"")
                .append(id)
                .append("\",\"bodyText\":\"")
                .append(text.replaceAll("[^ -~]|[\"\\\\]", "?"))
                .append("\"}}\n");
    }
}
