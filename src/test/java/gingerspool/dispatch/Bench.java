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
 * Builds the states that tests need, writes down what a Dispatcher does, and talks HTTP as a peer
 * does.
 */
public final class Bench implements DispatchActions {
    final List<String> actions = new ArrayList<>();
    final List<Assignment> sent = new ArrayList<>();
    final List<byte[]> peerMessages = new ArrayList<>();
    final DispatcherSettings settings = new DispatcherSettings();
    Dispatcher dispatcher;

    /**
     * Two slots a worker, three dispatchers, one profile of this effect: due 100 + 2 x work, expiry
     * 5000.
     */
    static Bench of(Profile.Effect... effects) {
        Bench b = new Bench();
        b.settings.profiles = new Profile[effects.length];
        for (int i = 0; i < effects.length; i++) {
            Profile p = new Profile();
            p.index = i;
            p.dueTime = 100;
            p.stretch = 2;
            p.expiry = 5000;
            p.dedupWindow = 1000;
            p.effect = effects[i];
            b.settings.profiles[i] = p;
        }
        b.settings.zone = 0;
        b.settings.dispatchers = 3;
        b.settings.maxAssignments = 4;
        b.settings.listRequestWindow = 10000;
        b.settings.coldShare = 0.25;
        b.settings.warmUpSpan = 10000;
        b.settings.coldWindow = 1000;
        b.settings.overloadFactor = 3;
        b.settings.mayAdviseRetryAfter = true;
        b.settings.maxRetryAfter = 2000;
        return b;
    }

    /**
     * Starts the dispatcher with so many running workers of size 2, all long started and heard
     * idle.
     */
    Bench start(int workers) {
        dispatcher = new Dispatcher(settings, 7, this);
        listWorkers(0, true, workers, Dispatcher.RUNNING, 0);
        for (int w = 0; w < workers; w++) {
            dispatcher.reportReceived(1, w, report(Double.NaN, 2));
        }
        actions.clear();
        return this;
    }

    void listWorkers(double at, boolean whole, int workers, int state, double startedAt) {
        dispatcher.listBegins(at, whole);
        for (int w = 0; w < workers; w++) {
            dispatcher.workerNamed(w, "worker-" + w);
            dispatcher.listed(w, w % 2, 0, w / 2, state, 2, startedAt);
        }
        dispatcher.listEnds(at, whole, false);
    }

    static double[] report(double queue, double freeSlots) {
        double[] r = new double[Report.SIZE];
        Arrays.fill(r, Double.NaN);
        r[Report.QUEUE] = queue;
        r[Report.FREE_SLOTS] = freeSlots;
        return r;
    }

    Task task(int profile, double at, double hint) {
        Task t = new Task("t" + actions.size());
        t.profile = settings.profiles[profile];
        t.expiry = at + t.profile.expiry;
        t.hint = hint;
        return t;
    }

    Task arrive(int profile, double at) {
        Task t = task(profile, at, 100);
        dispatcher.arrived(at, t);
        return t;
    }

    /** An assignment of this task there, sent as the dispatcher would, whatever it had chosen. */
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

    int countActions(String act) {
        return (int) actions.stream().filter(a -> a.startsWith(act)).count();
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
    public void sendToPeer(int dispatcher, byte[] message) {
        actions.add("tell " + dispatcher);
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

    public static void end(Task t) {
        t.ended = true;
    }

    // ---- A peer on a socket ----

    public static void write(Socket s, String text) throws IOException {
        s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** One whole message with a length, or none. */
    public static String read(Socket s) throws IOException {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        String text = "";
        int end = -1;
        while (end < 0 || in.size() < end + contentLength(text)) {
            int b = s.getInputStream().read();
            if (b < 0) {
                throw new EOFException("ended after: " + in);
            }
            in.write(b);
            text = in.toString(StandardCharsets.UTF_8);
            end = end < 0 && text.endsWith("\r\n\r\n") ? in.size() : end;
        }
        return text;
    }

    private static int contentLength(String head) {
        int at = head.indexOf("Content-Length: ");
        return at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
    }
}
