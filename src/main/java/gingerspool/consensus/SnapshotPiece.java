package gingerspool.consensus;

/**
 * One numbered piece of a snapshot.
 *
 * @param index the last log entry that the snapshot holds
 * @param snapshotTerm the term of that entry
 * @param voters the voters at that entry
 * @param digest the digest of the whole state
 * @param pieces how many pieces there are
 * @param number this piece's number, from 0
 * @param bytes its part of the state
 */
public record SnapshotPiece(
        long index,
        long snapshotTerm,
        VoterSet voters,
        String digest,
        int pieces,
        int number,
        byte[] bytes) {}
