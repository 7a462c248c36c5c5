package gingerspool.simulation;

import java.nio.ByteBuffer;

/**
 * One order of an operator: a configuration under a version, made on another version. The content
 * tells apart two orders under one version.
 */
record Order(long base, long version, long content) {
    private static final int BYTES = 4 * Long.BYTES;

    /** The log command for this order; the call number names the waiting caller. */
    byte[] command(long call) {
        return ByteBuffer.allocate(BYTES)
                .putLong(call)
                .putLong(base)
                .putLong(version)
                .putLong(content)
                .array();
    }

    static long callOf(byte[] command) {
        return ByteBuffer.wrap(command).getLong();
    }

    static Order of(byte[] command) {
        ByteBuffer buffer = ByteBuffer.wrap(command);
        buffer.getLong();
        return new Order(buffer.getLong(), buffer.getLong(), buffer.getLong());
    }
}
