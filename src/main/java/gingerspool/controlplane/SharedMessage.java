package gingerspool.controlplane;

import gingerspool.codec.KryoCodec;
import gingerspool.wire.Frames;

/** A message for several links that is encoded once; the links share its bytes. Not thread-safe. */
final class SharedMessage {
    private final Object message;
    private byte[] frame;

    SharedMessage(Object message) {
        this.message = message;
    }

    Object message() {
        return message;
    }

    /** The encoded frame, including its length prefix. Callers must not modify the array. */
    byte[] frame(KryoCodec codec) {
        if (frame == null) {
            frame = Frames.frame(codec.write(message));
        }
        return frame;
    }
}
