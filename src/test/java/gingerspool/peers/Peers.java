package gingerspool.peers;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;

/**
 * Workers on loopback that take every task, run it for a while and call back; their log is the
 * record.
 */
public final class Peers implements Closeable {
    /** What a worker did with a task. */
    public record Event(double at, String worker, String what, String task) {}

    private final List<Event> log = Collections.synchronizedList(new ArrayList<>());
    private final Set<Closeable> open = Collections.synchronizedSet(new HashSet<>());
    private final Set<String> dropped = Collections.synchronizedSet(new HashSet<>());
    private final ScheduledExecutorService timer =
            Executors.newScheduledThreadPool(1, Peers::thread);
    private final long begun = System.nanoTime();
    private volatile InetSocketAddress scheduler;
    private volatile boolean over;

    private static Thread thread(Runnable r) {
        Thread t = new Thread(r, "peer");
        t.setDaemon(true);
        return t;
    }

    /** Where call-backs go. */
    public void callBackTo(InetSocketAddress address) {
        scheduler = address;
    }

    public List<Event> log() {
        synchronized (log) {
            return new ArrayList<>(log);
        }
    }

    private void note(String worker, String what, String task) {
        log.add(new Event((System.nanoTime() - begun) / 1e6, worker, what, task));
    }

    /**
     * A worker with so many slots; each task takes as long as this says, in milliseconds, by its
     * id.
     */
    public int worker(String name, int slots, ToDoubleFunction<String> runFor) throws IOException {
        ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        open.add(server);
        Runs runs = new Runs(name, slots, runFor);
        thread(() -> accept(server, runs)).start();
        thread(runs::callBacks).start();
        return server.getLocalPort();
    }

    /** The tasks at one worker: first come, first served. */
    private final class Runs {
        private final String name;
        private final int slots;
        private final ToDoubleFunction<String> runFor;
        private final LinkedBlockingQueue<String> waiting = new LinkedBlockingQueue<>();
        private final LinkedBlockingQueue<String> done = new LinkedBlockingQueue<>();
        private int running;

        private Runs(String name, int slots, ToDoubleFunction<String> runFor) {
            this.name = name;
            this.slots = slots;
            this.runFor = runFor;
        }

        private synchronized void next() {
            while (running < slots && !waiting.isEmpty()) {
                String id = waiting.poll();
                if (dropped.remove(name + id)) {
                    note(name, "dropped", id);
                    continue;
                }
                running++;
                note(name, "started", id);
                timer.schedule(
                        () -> ended(id),
                        (long) (1000 * runFor.applyAsDouble(id)),
                        TimeUnit.MICROSECONDS);
            }
        }

        private synchronized void ended(String id) {
            running--;
            note(name, "ended", id);
            done.add(id);
            next();
        }

        private void callBacks() {
            Socket s = null;
            while (!over) {
                try {
                    String id = done.take();
                    String body =
                            "{\"id\":\""
                                    + id
                                    + "\",\"from\":\""
                                    + name
                                    + "\",\"state\":\"done\",\"result\":\"by "
                                    + name
                                    + "\"}";
                    if (s == null) {
                        s = new Socket(scheduler.getAddress(), scheduler.getPort());
                        s.setTcpNoDelay(true);
                        open.add(s);
                    }
                    s.getOutputStream()
                            .write(
                                    ("POST /callback HTTP/1.1\r\nContent-Length: "
                                                    + body.length()
                                                    + "\r\n\r\n"
                                                    + body)
                                            .getBytes(StandardCharsets.ISO_8859_1));
                    read(s.getInputStream());
                } catch (IOException e) {
                    s = null;
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private void accept(ServerSocket server, Runs runs) {
        while (!over) {
            try {
                Socket s = server.accept();
                s.setTcpNoDelay(true);
                open.add(s);
                thread(() -> serve(s, runs)).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s, Runs runs) {
        try {
            InputStream in = new BufferedInputStream(s.getInputStream());
            while (!over) {
                String request = read(in);
                if (request.startsWith("DELETE /jobs/")) {
                    String id = request.substring(13, request.indexOf(' ', 13));
                    note(runs.name, "given up", id);
                    dropped.add(runs.name + id);
                    write(s, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                } else {
                    String id = field(request, "X-Correlation-Id");
                    note(runs.name, "taken", id);
                    write(s, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                    runs.waiting.add(id);
                    runs.next();
                }
            }
        } catch (IOException e) {
            open.remove(s);
        }
    }

    // ---- HTTP, as far as peers need it ----

    public static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** One message with its body. */
    public static String read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int end = 0;
        while (end < 4) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException("ended after: " + head);
            }
            head.write(b);
            end = b == "\r\n\r\n".charAt(end) ? end + 1 : b == '\r' ? 1 : 0;
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        String length = field(text, "Content-Length");
        byte[] body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
        return text + new String(body, StandardCharsets.UTF_8);
    }

    public static String field(String message, String name) {
        int at = message.indexOf("\r\n" + name + ": ");
        return at < 0
                ? null
                : message.substring(at + name.length() + 4, message.indexOf('\r', at + 2));
    }

    @Override
    public void close() throws IOException {
        over = true;
        timer.shutdownNow();
        for (Closeable c : new ArrayList<>(open)) {
            c.close();
        }
    }
}
