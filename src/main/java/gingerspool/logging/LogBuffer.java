package gingerspool.logging;

/**
 * Bytes of the log in the order in which they came, up to a bound. The memory grows with what is
 * held. Not safe for use by several threads without a lock.
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

    /** Adds all of these bytes, or none where more than the limit would then be held. */
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
     * Moves the oldest bytes to the target and returns their number. Where not all of them fit and
     * a line ends among those that do, nothing after that end is moved.
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

    private static int wholeLines(byte[] bytes, int count) {
        int end = count;
        while (end > 0 && bytes[end - 1] != '\n') {
            end--;
        }
        return end == 0 ? count : end;
    }

    private void reserve(int bytes, int limitBytes) {
        if (bytes <= ring.length && ring.length > 0) {
            return;
        }
        int capacity = Math.max(INITIAL_BYTES, Math.max(bytes, Math.min(2 * bytes, limitBytes)));
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
