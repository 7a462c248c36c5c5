package gingerspool.wire;

/**
 * A client's request to run a task, as read from the wire.
 *
 * @param client the connection that waits for the answer
 * @param tenant the tenant's name, or null
 * @param arrivedFrom the earliest time at which it may have come, in milliseconds on the loop's
 *     clock
 * @param timeLeft milliseconds that the client waits from then on, NaN where it does not say
 * @param hint milliseconds of work to expect on a standard core, 0 where it does not say
 * @param width slots that the task takes
 * @param memory memory that it takes, in the units of the list
 * @param repeat whether the client says that it tries again
 * @param message the whole request
 */
public record TaskRequest(
        Inbound client,
        String id,
        String profile,
        String tenant,
        double arrivedFrom,
        double timeLeft,
        double hint,
        double width,
        double memory,
        boolean repeat,
        Message message) {}
