package gingerspool.logging;

/**
 * A bounded FIFO ring buffer of log bytes that grows on demand. Not thread-safe: {@link
 * AsynchronousLogOutput} uses it under a lock.
 */
final class LogBuffer {
    private static final int INITIAL_BYTES = 8 * 1024;

    private byte[] ring = {};
    private int first;
    private int size;

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** Adds all of these bytes, or none if the buffer would then exceed the limit. */
    boolean add(byte[] bytes, int offset, int length, int limitBytes) {
        if (length > limitBytes - size) {
            return false;
        }
        reserve(size + length, limitBytes);
        int end = (first + size) % ring.length;
        int untilWrap = Math.min(length, ring.length - end);
        System.arraycopy(bytes, offset, ring, end, untilWrap);
        System.arraycopy(bytes, offset + untilWrap, ring, 0, length - untilWrap);
        size += length;
        return true;
    }

    /**
     * Moves the oldest bytes to the target and returns their number. If not all bytes fit, moves
     * whole lines only, unless the first line alone is longer than the target.
     */
    int take(byte[] target) {
        int count = Math.min(size, target.length);
        copyTo(target, count);
        if (count < size) {
            count = wholeLines(target, count);
        }
        size -= count;
        first = size == 0 ? 0 : (first + count) % ring.length;
        return count;
    }

    /** Returns the length of the whole lines in these bytes, or the count if no line ends there. */
    private static int wholeLines(byte[] bytes, int count) {
        int end = count;
        while (end > 0 && bytes[end - 1] != '\n') {
            end--;
        }
        return end == 0 ? count : end;
    }

    private void reserve(int requiredBytes, int limitBytes) {
        if (requiredBytes <= ring.length && ring.length > 0) {
            return;
        }
        int capacity =
                Math.max(
                        INITIAL_BYTES,
                        Math.max(requiredBytes, Math.min(2 * requiredBytes, limitBytes)));
        byte[] larger = new byte[capacity];
        copyTo(larger, size);
        ring = larger;
        first = 0;
    }

    private void copyTo(byte[] target, int count) {
        int untilWrap = Math.min(count, ring.length - first);
        System.arraycopy(ring, first, target, 0, untilWrap);
        System.arraycopy(ring, 0, target, untilWrap, count - untilWrap);
    }
}
