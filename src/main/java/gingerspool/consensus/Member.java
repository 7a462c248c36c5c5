package gingerspool.consensus;

/**
 * One replica: the address of its machine, and an id made together with its disk's content. A
 * machine whose disk was lost comes back as another member, which has no log and cast no vote.
 */
public record Member(String ip, String id) {
    /** The id of the members of the very first start. */
    public static final String FOUNDER = "0";

    @Override
    public String toString() {
        return ip + "/" + id;
    }
}
