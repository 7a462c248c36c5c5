package gingerspool.codec;

import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.io.Input;

/**
 * The bytes of one message. A length that the message names is believed only up to the bytes that
 * are left of it: Kryo's own input reserves what was named before it reads, which for a few
 * malformed bytes may be more than the heap has. For one thread.
 */
final class MessageInput extends Input {
    MessageInput(byte[] bytes) {
        super(bytes);
    }

    /** The bytes after the position. */
    int remaining() {
        return limit() - position();
    }

    /**
     * Refuses a count of bytes, characters or elements that can't follow, each of which takes a
     * byte at least.
     */
    void checkAvailable(int count) {
        if (count < 0 || count > remaining()) {
            throw new KryoException(count + " named where " + remaining() + " bytes are left");
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

    /** Only a string that isn't ASCII names its length, one more than its characters. */
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
