package gingerspool.load;

import java.util.Locale;

/**
 * One call of an operator and its end. Times are milliseconds of Unix time.
 *
 * @param answer the status of the answer, or 0 where none came in time
 * @param owed whether a yes is owed: the process that was asked had said that it serves, and nobody
 *     ended it or moved operators to another one meanwhile
 */
public record OperatorCall(
        int scheduler, String path, double sent, double ended, int answer, boolean owed) {
    /** The call as a line of the clients' record. */
    String line() {
        return String.format(
                Locale.ROOT,
                "operators\t%d\t%s\t%.3f\t%.3f\t%d\t%b",
                scheduler,
                path,
                sent,
                ended,
                answer,
                owed);
    }
}
