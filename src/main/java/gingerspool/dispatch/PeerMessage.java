package gingerspool.dispatch;

/**
 * Encodes messages between dispatchers: two bytes for the worker's tag and, if a task was sent
 * there, one for its size; without that byte a task there has ended. The size, in ticks, is encoded
 * logarithmically in sixteenths of a power of two, from 1 on.
 */
final class PeerMessage {
    private static final double STEPS_PER_DOUBLING = 16;

    private PeerMessage() {}

    /** Encodes a message; a size of 0 means that the task has ended. */
    static byte[] of(int tag, double size) {
        byte high = (byte) (tag >> 8);
        double step = Math.rint(STEPS_PER_DOUBLING * Math.log(Math.max(1, size)) / Math.log(2));
        return size <= 0
                ? new byte[] {high, (byte) tag}
                : new byte[] {high, (byte) tag, (byte) Math.min(255, step)};
    }

    /** The last two bytes of the worker's tag, or -1 if the message is too short. */
    static int tag(byte[] message) {
        return message.length < 2 ? -1 : (message[0] & 255) << 8 | message[1] & 255;
    }

    static boolean begins(byte[] message) {
        return message.length > 2;
    }

    static double size(byte[] message) {
        return Math.pow(2, (message[2] & 255) / STEPS_PER_DOUBLING);
    }
}
