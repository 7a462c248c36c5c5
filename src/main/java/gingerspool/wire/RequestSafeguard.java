package gingerspool.wire;

/**
 * What keeps answers with their requests, and unsafe requests from running twice. Each stands for
 * one check in the code; a model test takes them out one by one and shows what then goes wrong.
 */
public enum RequestSafeguard {
    /** An answer with the id of another request is passed over. */
    RESPONSE_ID,

    /** An answer whose length is not told is not known to be whole. */
    LENGTH_TOLD,

    /** An answer that the connection's end cut short is none. */
    WHOLE_RESPONSE,

    /** A connection on which a surplus answer came is not used again. */
    SURPLUS_RESPONSE_CLOSES,

    /** Nor is one with bytes behind a whole answer. */
    SURPLUS_BYTES_CLOSE,

    /** Nor is one on which bytes came while it was at rest. */
    UNASKED_BYTES_CLOSE,

    /** Nor is one whose answer came before the request was written. */
    EARLY_RESPONSE_CLOSES,

    /** Nor is one whose answer carries no id, an encoding, or no stamp. */
    DOUBTFUL_RESPONSE_CLOSES,

    /** What says that a request was not executed names that request. */
    REFUSAL_ID,

    /** Only Not-Executed or 421 says that a request did not run. */
    REFUSAL_MARK,

    /** A request of which a byte was written may have run. */
    BYTE_WRITTEN,

    /** An unsafe request that may have run is not sent again. */
    UNSAFE_ONCE,

    /** An encoded answer is not the worker's. */
    CONTENT_ENCODING,

    /** A success without a stamp is not the worker's. */
    SERVER_STAMP,

    /**
     * A status that promises that the request never ran is not passed on from one that may have.
     */
    PROMISE,

    /** Requests name the instance that is meant. */
    EXPECTED_INSTANCE,

    /** A request goes to as many instances as its route allows. */
    MOST_ATTEMPTS,

    /** Repeats of all requests keep within a budget. */
    RETRY_BUDGET
}
