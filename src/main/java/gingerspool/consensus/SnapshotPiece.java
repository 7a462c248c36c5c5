package gingerspool.consensus;

/**
 * One numbered piece of a snapshot in transfer.
 *
 * @param index the index of the last entry that the snapshot covers
 * @param snapshotTerm the term of that entry
 * @param voters the voters after that entry was appended
 * @param digest the SHA-256 digest of the whole state, in hexadecimal
 * @param pieces the number of pieces of the snapshot
 * @param number the number of this piece, from 0
 * @param bytes the part of the state in this piece
 */
public record SnapshotPiece(
        long index,
        long snapshotTerm,
        VoterSet voters,
        String digest,
        int pieces,
        int number,
        byte[] bytes) {}
