package gingerspool.dispatch;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Test harness around a {@link Dispatcher}: builds its state, records its actions in order, and
 * exchanges HTTP messages over a socket for tests of other packages. Times and spans are
 * milliseconds. Not thread-safe.
 */
public final class DispatcherHarness implements DispatchActions {
    /** Actions in order, each as a name and at most one argument, such as "send 3". */
    final List<String> actions = new ArrayList<>();

    final List<Assignment> sent = new ArrayList<>();
    final List<byte[]> peerMessages = new ArrayList<>();
    final DispatcherSettings settings = new DispatcherSettings();
    Dispatcher dispatcher;

    /**
     * Creates settings of three dispatchers and one profile per effect: due 100 ms + 2 x work after
     * arrival, expiry after 5000 ms.
     */
    static DispatcherHarness of(Profile.Effect... effects) {
        DispatcherHarness harness = new DispatcherHarness();
        harness.settings.profiles = new Profile[effects.length];
        for (int i = 0; i < effects.length; i++) {
            Profile profile = new Profile();
            profile.index = i;
            profile.dueTime = 100;
            profile.stretch = 2;
            profile.expiry = 5000;
            profile.dedupWindow = 1000;
            profile.effect = effects[i];
            harness.settings.profiles[i] = profile;
        }
        harness.settings.zone = 0;
        harness.settings.dispatchers = 3;
        harness.settings.maxAssignments = 4;
        harness.settings.listRequestWindow = 10000;
        harness.settings.coldShare = 0.25;
        harness.settings.warmUpSpan = 10000;
        harness.settings.coldWindow = 1000;
        harness.settings.overloadFactor = 3;
        harness.settings.mayAdviseRetryAfter = true;
        harness.settings.maxRetryAfter = 2000;
        return harness;
    }

    /**
     * Starts the dispatcher with this many running workers of two slots, which started long ago and
     * have reported that they are idle. Clears the recorded actions.
     */
    DispatcherHarness start(int workers) {
        dispatcher = new Dispatcher(settings, 7, this);
        listWorkers(0, true, workers, Dispatcher.RUNNING, 0);
        for (int w = 0; w < workers; w++) {
            dispatcher.reportReceived(1, w, report(Double.NaN, 2));
        }
        actions.clear();
        return this;
    }

    /** Lists the first workers, which alternate between two zones and share a cell in pairs. */
    void listWorkers(double at, boolean whole, int workers, int state, double startedAt) {
        dispatcher.listBegins(at, whole);
        for (int w = 0; w < workers; w++) {
            dispatcher.workerNamed(w, "worker-" + w);
            dispatcher.listed(w, w % 2, 0, w / 2, state, 2, startedAt);
        }
        dispatcher.listEnds(at, whole, false);
    }

    static double[] report(double queue, double freeSlots) {
        double[] report = new double[Report.SIZE];
        Arrays.fill(report, Double.NaN);
        report[Report.QUEUE] = queue;
        report[Report.FREE_SLOTS] = freeSlots;
        return report;
    }

    Task task(int profile, double at, double hint) {
        Task t = new Task("t" + actions.size());
        t.profile = settings.profiles[profile];
        t.expiry = at + t.profile.expiry;
        t.hint = hint;
        return t;
    }

    /** Lets a task arrive that is expected to run for 100 ms. */
    Task arrive(int profile, double at) {
        Task t = task(profile, at, 100);
        dispatcher.arrived(at, t);
        return t;
    }

    /**
     * Adds an unfinished assignment of the task to the worker without a decision of the dispatcher.
     */
    Assignment forceSend(Task t, int worker, double at) {
        t.work = t.hint;
        Assignment a = new Assignment(t, worker, 0, at, t.hint, 0, sent.size());
        t.inFlight++;
        dispatcher.fleet.link(a);
        return a;
    }

    Assignment lastSent() {
        return sent.get(sent.size() - 1);
    }

    int countActions(String prefix) {
        return (int) actions.stream().filter(a -> a.startsWith(prefix)).count();
    }

    @Override
    public void send(Assignment a, double timeout) {
        sent.add(a);
        actions.add("send " + a.worker);
    }

    @Override
    public void bounce(Task t, double pause) {
        actions.add("bounce " + pause);
    }

    @Override
    public void abandon(Task t) {
        actions.add("abandon");
    }

    @Override
    public void cancel(Assignment a) {
        actions.add("cancel");
    }

    @Override
    public void probe(int worker) {
        actions.add("probe " + worker);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        actions.add("message " + peer);
        peerMessages.add(message);
    }

    @Override
    public void watchList() {
        actions.add("watch");
    }

    @Override
    public void wakeAfter(double span) {
        actions.add("wake " + span);
    }

    public static Assignment assignment(Task t, int worker, int number) {
        return new Assignment(t, worker, number, 0, 1, 0, 0);
    }

    public static void markEnded(Task t) {
        t.ended = true;
    }

    // ---- HTTP over a socket ----

    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads one HTTP message, with the body that its Content-Length announces, if any. */
    public static String readMessage(Socket socket) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        String message = "";
        int headEnd = -1;
        while (headEnd < 0 || received.size() < headEnd + contentLength(message)) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new EOFException("connection closed after: " + received);
            }
            received.write(next);
            message = received.toString(StandardCharsets.UTF_8);
            headEnd = headEnd < 0 && message.endsWith("\r\n\r\n") ? received.size() : headEnd;
        }
        return message;
    }

    private static int contentLength(String head) {
        int at = head.indexOf("Content-Length: ");
        return at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
    }
}
