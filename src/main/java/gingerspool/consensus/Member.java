package gingerspool.consensus;

/**
 * The identity of a replica: the address of its machine, and an id created together with its
 * durable state. A machine that lost its disk returns as a different member, which has no log and
 * has cast no vote.
 */
public record Member(String ip, String id) {
    /** The id of the founders, which bootstrap the cluster. */
    public static final String FOUNDER_ID = "0";

    @Override
    public String toString() {
        return ip + "/" + id;
    }
}
