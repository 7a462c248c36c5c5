package gingerspool.peers;

import gingerspool.wire.ClientEndpoint;

/**
 * What tests of a clients' endpoint need to say of tasks: all are let in, no call-back is known.
 */
public abstract class RequestHandlerStub implements ClientEndpoint.RequestHandler {
    @Override
    public boolean knowsProfile(String name) {
        return true;
    }

    @Override
    public boolean inHand(String id) {
        return false;
    }

    @Override
    public boolean hasRoomFor(int bytes) {
        return true;
    }

    @Override
    public boolean told(
            String id, String from, String state, double share, String result, Object load) {
        return false;
    }
}
