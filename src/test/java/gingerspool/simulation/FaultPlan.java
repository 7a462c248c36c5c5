package gingerspool.simulation;

/** What troubles a simulated core has, and when. */
interface FaultPlan {
    /** From now on there is trouble. */
    void begin();

    /** Nothing new happens; what has begun comes to its end. */
    void calm();

    /** A process is about to acknowledge an order. */
    void acknowledged(ConsensusSimulation.Machine by);
}
