package gingerspool.consensus;

/**
 * The effects of a replica: sending messages, writing to disk and applying commands. Implemented by
 * the host, and called on the thread that calls {@link Replica}.
 */
public interface ReplicaEnvironment {
    /** Sends a message. Delivery is not guaranteed. */
    void send(Member to, ConsensusMessage message);

    /**
     * Starts to write and sync. {@link Replica#persisted} is to be called once this write and all
     * earlier ones are durable; it is not called if the disk fails.
     */
    void persist(LogWrite write);

    /** Applies the next committed command. */
    void apply(long index, byte[] command);

    /** Replaces the state by a snapshot that covers all commands up to an index. */
    void restore(long index, byte[] state);

    /** The serialized state after all commands applied so far. */
    byte[] snapshotState();
}
