package gingerspool.dispatch;

import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * All decisions of one scheduler. It is made from the deployment's Settings; then each input is one
 * call that carries the time (listed, arrived, ended, started, probed, wake ...), and it acts only
 * through DispatchActions. After every input the Rules are gone through in order until none fires.
 * Workers are dense indexes given by the caller; tasks and assignments are objects. Times are
 * milliseconds. See docs/design.md.
 */
public final class Dispatcher extends Estimates {
    public static final int GONE = 0;
    public static final int DRAINING = 1;
    public static final int RUNNING = 2;

    private final DispatchActions out;
    private final SplittableRandom chance;
    private final Speed speed;
    private final RunningTimes runs;
    private final QueuedWork queued;
    private final LocalSends ownSends;
    private final PeerSends peerSends;
    private final PairTable pairs;
    private final Reports reports;
    private final ReportReader reportReader;
    private final FutureArrivals later;
    private final ColdBudget coldBudget;
    private final Health health;
    private final Score score;
    private final ServerChoice choice;
    private final AdmissionPolicy givingUp;
    private final RetryPolicy tries;
    private final TaskValue worth;
    private final Rules rules;
    private final OverdueSends overdue;
    private final PendingTasks pending;

    /** A dispatcher for this deployment; its chance is drawn from the seed. */
    public Dispatcher(DispatcherSettings s, long seed, DispatchActions out) {
        super(s, QueuedWork.K, FutureArrivals.BINS + 1);
        this.out = out;
        chance = new SplittableRandom(seed);
        Arrays.fill(firstTryAge, Double.POSITIVE_INFINITY);
        for (int p = 0; p < profiles.length; p++) {
            runVar[p] = 0.5;
            profileWork[p] = Math.max(profiles[p].firstWork(), tick);
            runLog[p] = Math.log(profileWork[p]) - runVar[p] / 2;
            meanWork += profileWork[p] / profiles.length;
            meanWorth += profiles[p].utility / profiles.length;
        }
        meanDensity = byWork ? meanWorth : meanWorth / meanWork;
        meanWorth *= byWork ? meanWork : 1;
        arrivalGap = fadeSpan() / ServerChoice.BUDDIES;
        speed = new Speed(this);
        runs = new RunningTimes(this, speed);
        queued = new QueuedWork(this, speed);
        ownSends = new LocalSends(this, out);
        pairs = new PairTable(this, speed, queued);
        reports = new Reports(this, speed, queued, ownSends, pairs, out);
        reportReader = new ReportReader(this, reports);
        peerSends = new PeerSends(this, speed, queued, ownSends);
        later = new FutureArrivals(this, speed, queued, ownSends);
        coldBudget = new ColdBudget(this, speed);
        health = new Health(this);
        score = new Score(this, speed, queued, pairs, later);
        choice = new ServerChoice(this, speed, queued, ownSends, coldBudget, health, score, chance);
        overdue = new OverdueSends();
        givingUp = new AdmissionPolicy(this, queued, runs, overdue);
        tries = new RetryPolicy(this, chance);
        worth = new TaskValue(this);
        pending = new PendingTasks(this, out);
        Sender sender =
                new Sender(this, speed, queued, ownSends, pairs, coldBudget, overdue, pending, out);
        rules = new Rules(this, reports, choice, givingUp, tries, pending, sender, chance, out);
    }

    // ---- Inputs: the list ----

    /** A list, or changes to the one held, begins; a whole one names every worker there is. */
    public void listBegins(double at, boolean whole) {
        now = at;
        if (whole) {
            Arrays.fill(fleet.named, 0, fleet.count, false);
        }
    }

    /**
     * What this worker is called: the same at every dispatcher, and said before it is first listed.
     */
    public void called(int w, String name) {
        fleet.reach(w, 0);
        fleet.tag[w] = Workers.mixed(name.hashCode());
    }

    /** One entry of the list; the state is GONE, DRAINING or RUNNING. */
    public void listed(
            int w,
            int inZone,
            int ofKind,
            int inCell,
            int newState,
            double ofSize,
            double started) {
        fleet.reach(w, ofKind);
        fleet.rank[w] = fleet.rank[w] > 0 ? fleet.rank[w] : choice.rank(ofSize);
        boolean again = started > fleet.startedAt[w];
        fleet.named[w] = true;
        fleet.state[w] = newState;
        fleet.zoneOf[w] = inZone;
        fleet.kindOf[w] = Math.max(0, ofKind);
        fleet.cellOf[w] = inCell;
        fleet.size[w] = ofSize > 0 ? ofSize : 1;
        if (again) {
            began(w, started);
        }
    }

    private void began(int w, double started) {
        fleet.startedAt[w] = started;
        // Guards against taking a new worker for as full as the others: it has just begun with
        // nothing.
        fleet.heardAt[w] = started;
        fleet.others[w] = 0;
        fleet.answeredAt[w] = 0;
        fleet.avoidUntil[w] = 0;
        Arrays.fill(fleet.fail[w], 0);
        coldBudget.begin(w, chance.nextDouble());
    }

    /** The list is complete. A remembered one was not asked for, so it answers nothing. */
    public void listEnds(double at, boolean whole, boolean remembered) {
        now = at;
        if (whole) {
            for (int w = 0; w < fleet.count; w++) {
                fleet.state[w] = fleet.named[w] ? fleet.state[w] : GONE;
            }
        }
        if (!remembered) {
            rules.listAnswered();
        }
        fleet.order();
        reconsiderAll();
    }

    /** Whoever waits is looked at anew, since other workers may take it now. */
    private void reconsiderAll() {
        pending.reconsiderAll();
        rules.settle();
    }

    /** A call for the list failed, or the changes stopped coming: ask again, later each time. */
    public void listFailed(double at) {
        now = at;
        rules.listFailed();
        rules.settle();
    }

    // ---- Inputs: what operators say ----

    /**
     * Nothing new goes to this worker until it is resumed, whatever the list says of it meanwhile.
     */
    public void suspended(double at, int w) {
        now = at;
        fleet.bannedAt[w] = fleet.banned(w) ? fleet.bannedAt[w] : now;
        rules.settle();
    }

    /** Puts the worker back; what failed there under the ban says nothing of it now. */
    public void resumed(double at, int w) {
        now = at;
        if (fleet.banned(w)) {
            // Guards rule four: it was restarted under the ban, and the list may tell so only
            // later.
            began(w, fleet.startedAt[w] < fleet.bannedAt[w] ? now : fleet.startedAt[w]);
            fleet.bannedAt[w] = Double.NaN;
        }
        reconsiderAll();
    }

    /**
     * So many slots are ours to use: who finds one is sent, as nobody queues. Never told: no bound.
     */
    public void granted(double at, int w, int slots) {
        now = at;
        fleet.granted[w] = slots;
        reconsiderAll();
    }

    public boolean banned(int w) {
        return fleet.banned(w);
    }

    // ---- Inputs: what another process has learned ----

    /** Takes what the process before this one had learned and still means the same here. */
    public void learn(double at, Map<?, ?> told) {
        now = at;
        LearnedSnapshot m = LearnedSnapshot.reader(told);
        carry(m);
        // What it still has out there is the work of others from here on.
        double[] out = new double[fleet.count];
        m.each("own", out, fleet.count);
        for (int w = 0; w < fleet.count; w++) {
            fleet.others[w] += out[w];
        }
        fleet.order();
        reconsiderAll();
    }

    // ---- Inputs: tasks ----

    public void arrived(double at, Task t) {
        now = at;
        t.arrived = now;
        if (t.overLimit) {
            t.ended = true;
            out.bounce(t, t.advice > 0 ? Math.min(t.advice, longestAdvice) : longestAdvice);
            return;
        }
        arrivalGap += (Math.min(now - lastArrival, arrivalGap * SAMPLES) - arrivalGap) / SAMPLES;
        lastArrival = now;
        firstArrival = Double.isNaN(firstArrival) ? now : firstArrival;
        int p = t.profile.index;
        t.work =
                t.hint > 0 && t.hint < t.profile.expiry * SAMPLES
                        ? runs.fromHint(p, t.hint)
                        : profileWork[p];
        t.due = worth.due(t);
        t.worth = worth.of(t);
        pending.add(t);
        rules.settle();
    }

    public void ended(double at, Assignment a, Outcome how, boolean over, double[] report) {
        now = at;
        if (!a.over) {
            a.over = true;
            overdue.ended(a);
            ownSends.tell(a, false);
            ownSends.smoothOwn(a.worker);
            fleet.unlink(a);
            a.task.out--;
        }
        Task t = a.task;
        a.neverRan = how.neverRan();
        t.findRan();
        t.last = how;
        learnFrom(a, how);
        reportReader.reported(a.worker, report);
        if (over) {
            t.ended = true;
            callBack(t);
        } else if (!t.ended && t.out == 0) {
            pending.add(t);
        }
        rules.settle();
    }

    /** Each part learns what the outcome means to it. */
    private void learnFrom(Assignment a, Outcome how) {
        switch (how) {
            case OK -> {
                health.answered(a.worker, a.task.profile.index);
                runs.learnRun(a);
                worth.answered(a.task);
                givingUp.answered(a.task);
                pairs.countLateness(a);
            }
            case ERROR, RESET -> health.failed(a.worker, a.task.profile.index);
            case FULL, UNREACHABLE -> {
                pairs.countFull(a, how);
                health.avoid(a.worker);
            }
            default -> {}
        }
        later.note(a, how);
    }

    public void started(double at, Assignment a) {
        now = at;
        if (Double.isNaN(a.startedAt)) {
            a.startedAt = now;
            pairs.countWait(a);
        }
        rules.settle();
    }

    /** A streamed answer has begun: the assignment is the client's from here. */
    public void accepted(double at, Assignment a) {
        now = at;
        a.task.ended = true;
        rules.settle();
    }

    public void progressed(double at, Assignment a, double share) {
        now = at;
        runs.progressed(a, share);
        rules.settle();
    }

    /**
     * The client left; nothing is owed any more, and what is out for it would take workers' time in
     * vain.
     */
    public void left(double at, Task t) {
        now = at;
        t.ended = true;
        callBack(t);
        rules.settle();
    }

    /** Cancels what is out for a task that has its end. */
    private void callBack(Task t) {
        for (int i = 0; i < t.tries && t.out > 0 && mayCancel; i++) {
            if (!t.sent[i].over) {
                out.cancel(t.sent[i]);
            }
        }
    }

    public void probed(double at, int w, double[] report) {
        now = at;
        fleet.probing[w] = false;
        reportReader.reported(w, report);
        pending.reconsiderAfterReport(w);
        rules.settle();
    }

    /** The worker answered a request for a report with nothing in time, or turned it away. */
    public void reportMissing(double at, int w) {
        now = at;
        fleet.probing[w] = false;
        health.avoid(w);
        // Guards tasks at workers that hang: what may go again is called back, and its outcome
        // decides anew.
        for (Assignment a = fleet.oldest[w]; a != null && mayCancel; a = a.after) {
            if (tries.mayCallBack(a)) {
                a.cancelled = true;
                out.cancel(a);
            }
        }
        reconsiderAll();
    }

    /**
     * A message of another dispatcher: it has sent a task of so much work to a worker, or that has
     * ended.
     */
    public void peerTold(double at, int peer, byte[] message) {
        now = at;
        peerSends.peerTold(peer, message);
        rules.settle();
    }

    public void wake(double at) {
        now = at;
        pending.woken();
        rules.settle();
    }

    // ---- Beliefs, as logs and tests ask for them ----

    double inTime(Task t, int w) {
        return score.inTime(t, w);
    }

    double load(int w, double ofOthers) {
        return queued.load(w, ofOthers);
    }

    double othersNow(int w) {
        return queued.othersNow(w);
    }

    double slotsOf(int w) {
        return speed.slotsOf(w);
    }

    double pace(int w) {
        return speed.pace(w);
    }

    double failNow(int w, int p) {
        return health.failNow(w, p);
    }

    double lateNow() {
        return givingUp.lateNow();
    }

    boolean inBudget(int w, double work) {
        return coldBudget.inBudget(w, work);
    }

    double withinShare(Task t) {
        return worth.withinShare(t);
    }

    void count(int w, int believed, int told, int times) {
        pairs.count(w, believed, told, times);
    }
}
