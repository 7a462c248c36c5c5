package gingerspool.daemon;

import gingerspool.dispatch.Bench;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The sockets of a test that stands in for clients, operators, a worker and discovery itself. */
abstract class Rig {
    static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

    final List<Socket> open = new ArrayList<>();
    ServerSocket worker;
    ServerSocket discovery;

    final void listen() throws IOException {
        worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        worker.setSoTimeout(5000);
        discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    final void close() throws IOException {
        for (Socket s : open) {
            s.close();
        }
        open.clear();
        worker.close();
        discovery.close();
    }

    final Socket to(SocketAddress address, String text) throws IOException {
        Socket s = new Socket();
        open.add(s);
        s.connect(address);
        s.setSoTimeout(5000);
        Bench.write(s, text);
        return s;
    }

    /** From now on the loop does nothing else for so long; returns once that has begun. */
    static void holdLoop(Daemon daemon, long ms) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch never = new CountDownLatch(1);
        daemon.loop.submit(
                () -> {
                    held.countDown();
                    try {
                        never.await(ms, TimeUnit.MILLISECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        held.await();
    }
}
