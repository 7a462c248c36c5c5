package gingerspool.codec;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;

/**
 * The bytes of one message. Rejects declared lengths that exceed the remaining bytes: Kryo's own
 * input allocates the declared length before it reads, so that a few malformed bytes could exhaust
 * the heap. Not thread-safe.
 */
final class MessageInput extends Input {
    MessageInput(byte[] bytes) {
        super(bytes);
    }

    /** The number of bytes not yet read. */
    int remaining() {
        return limit() - position();
    }

    /**
     * Throws if a declared count of bytes, characters or elements exceeds the remaining bytes; each
     * takes at least one byte.
     */
    void checkAvailable(int count) {
        if (count < 0 || count > remaining()) {
            throw new KryoException(
                    count + " bytes or elements declared, but only " + remaining() + " bytes left");
        }
    }

    @Override
    public byte[] readBytes(int length) {
        checkAvailable(length);
        return super.readBytes(length);
    }

    @Override
    public String readString() {
        checkStringAvailable();
        return super.readString();
    }

    @Override
    public StringBuilder readStringBuilder() {
        checkStringAvailable();
        return super.readStringBuilder();
    }

    /** Only non-ASCII strings declare a length, which is one more than their characters. */
    private void checkStringAvailable() {
        int start = position();
        if (readVarIntFlag()) {
            int declaredLength = readVarIntFlag(true);
            if (declaredLength != 0) {
                checkAvailable(declaredLength - 1);
            }
        }
        setPosition(start);
    }
}
