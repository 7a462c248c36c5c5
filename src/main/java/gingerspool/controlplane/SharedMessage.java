package gingerspool.controlplane;

import gingerspool.codec.KryoCodec;
import gingerspool.wire.Frames;

/** A message to several links that is encoded once, and whose bytes they share. For one thread. */
final class SharedMessage {
    private final Object message;
    private byte[] frame;

    SharedMessage(Object message) {
        this.message = message;
    }

    Object message() {
        return message;
    }

    /** The bytes of its frame, its length included; nobody may write to them. */
    byte[] frame(KryoCodec codec) {
        if (frame == null) {
            frame = Frames.frame(codec.write(message));
        }
        return frame;
    }
}
