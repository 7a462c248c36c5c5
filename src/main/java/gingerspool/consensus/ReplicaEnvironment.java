package gingerspool.consensus;

/** The effects of a replica: what it calls to send, to write and to apply. */
public interface ReplicaEnvironment {
    /** Sends a message, which may be lost. */
    void send(Member to, ConsensusMessage message);

    /**
     * Writes this and syncs. Replica.persisted(ticket) follows once it and all earlier writes are
     * durable, or never.
     */
    void persist(LogWrite write);

    /** Applies the next committed command. */
    void apply(long index, byte[] command);

    /** Replaces the state by that of all commands up to an index. */
    void restore(long index, byte[] state);

    /** The state that all applied commands come to. */
    byte[] snapshotState();
}
