package gingerspool.peers;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Ports for tests that must know one before anybody listens there. */
public final class Ports {
    private Ports() {}

    /** A port of this address that nobody had a moment ago. */
    public static int free(String address) throws IOException {
        try (ServerSocket any = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return any.getLocalPort();
        }
    }
}
