package gingerspool.experiment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import org.testng.annotations.Test;

/**
 * Two plays beside each other took one port: their schedulers share ports, so that clients of one
 * were answered by the other's, and both plays failed.
 */
public class FreePortsTest {
    private static ServerSocket listen(InetSocketAddress address, boolean shared)
            throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        if (shared) {
            server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        server.bind(address);
        return server;
    }

    @Test
    public void aPortIsGivenOutOnce() throws IOException {
        try (FreePorts ports = new FreePorts()) {
            InetSocketAddress address = ports.next();
            try (Socket other = new Socket()) {
                other.setReuseAddress(false);
                assertThrows(BindException.class, () -> other.bind(address));
            }
        }
    }

    @Test
    public void schedulersListenThereAndShareIt() throws IOException {
        try (FreePorts ports = new FreePorts()) {
            InetSocketAddress address = ports.next();
            try (ServerSocket first = listen(address, true);
                    ServerSocket second = listen(address, true)) {
                assertEquals(first.getLocalPort(), second.getLocalPort());
            }
        }
    }

    @Test
    public void operatorsAreListenedForThere() throws IOException {
        try (FreePorts ports = new FreePorts()) {
            InetSocketAddress address = ports.next();
            try (ServerSocket server = listen(address, false);
                    Socket caller = new Socket(address.getAddress(), address.getPort())) {
                assertEquals(caller.getPort(), server.getLocalPort());
            }
        }
    }

    @Test
    public void aPortIsFreeAgainAfterThePlay() throws IOException {
        InetSocketAddress address;
        try (FreePorts ports = new FreePorts()) {
            address = ports.next();
        }
        try (Socket other = new Socket()) {
            other.setReuseAddress(false);
            other.bind(address);
            assertEquals(other.getLocalPort(), address.getPort());
        }
    }
}
