package gingerspool.daemon;

import gingerspool.dispatch.DispatcherHarness;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The sockets of a test that itself plays the clients, the operators, a worker and discovery. */
abstract class SocketTestBase {
    /** A worker's response to a task that it accepts. */
    static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

    /** Closed after the test. */
    final List<Socket> sockets = new ArrayList<>();

    ServerSocket worker;
    ServerSocket discovery;

    final void listen() throws IOException {
        worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        worker.setSoTimeout(5000);
        discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    final void close() throws IOException {
        for (Socket s : sockets) {
            s.close();
        }
        sockets.clear();
        worker.close();
        discovery.close();
    }

    /** Connects to this address and sends the text. */
    final Socket connect(SocketAddress address, String text) throws IOException {
        Socket s = new Socket();
        sockets.add(s);
        s.connect(address);
        s.setSoTimeout(5000);
        DispatcherHarness.write(s, text);
        return s;
    }

    /** Blocks the daemon's loop for this time; returns once the loop is blocked. */
    static void blockLoop(Daemon daemon, long ms) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch neverReleased = new CountDownLatch(1);
        daemon.loop.submit(
                () -> {
                    blocked.countDown();
                    try {
                        neverReleased.await(ms, TimeUnit.MILLISECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        blocked.await();
    }
}
