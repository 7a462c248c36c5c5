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

    private final DispatchActions actions;
    private final SplittableRandom random;
    private final Speed speed;
    private final RunningTimes runs;
    private final QueuedWork queue;
    private final LocalSends localSends;
    private final PeerSends peerSends;
    private final PairTable pairs;
    private final Reports reports;
    private final ReportReader reportReader;
    private final FutureArrivals future;
    private final ColdBudget coldBudget;
    private final Health health;
    private final Score score;
    private final ServerChoice choice;
    private final AdmissionPolicy admission;
    private final RetryPolicy retryPolicy;
    private final TaskValue taskValue;
    private final Rules rules;
    private final OverdueSends overdue;
    private final PendingTasks pending;

    /** A dispatcher for this deployment; its chance is drawn from the seed. */
    public Dispatcher(DispatcherSettings s, long seed, DispatchActions actions) {
        super(s, QueuedWork.REGIONS, FutureArrivals.BINS + 1);
        this.actions = actions;
        random = new SplittableRandom(seed);
        Arrays.fill(firstTryAge, Double.POSITIVE_INFINITY);
        for (int p = 0; p < profiles.length; p++) {
            runVar[p] = 0.5;
            profileWork[p] = Math.max(profiles[p].firstWork(), tick);
            runLogMean[p] = Math.log(profileWork[p]) - runVar[p] / 2;
            meanWork += profileWork[p] / profiles.length;
            meanWorth += profiles[p].utility / profiles.length;
        }
        meanDensity = byWork ? meanWorth : meanWorth / meanWork;
        meanWorth *= byWork ? meanWork : 1;
        arrivalGap = decaySpan() / ServerChoice.MIN_CANDIDATES;
        speed = new Speed(this);
        runs = new RunningTimes(this, speed);
        queue = new QueuedWork(this, speed);
        localSends = new LocalSends(this, actions);
        pairs = new PairTable(this, speed, queue);
        reports = new Reports(this, speed, queue, localSends, pairs, actions);
        reportReader = new ReportReader(this, reports);
        peerSends = new PeerSends(this, speed, queue, localSends);
        future = new FutureArrivals(this, speed, queue, localSends);
        coldBudget = new ColdBudget(this, speed);
        health = new Health(this);
        score = new Score(this, speed, queue, pairs, future);
        choice =
                new ServerChoice(this, speed, queue, localSends, coldBudget, health, score, random);
        overdue = new OverdueSends();
        admission = new AdmissionPolicy(this, queue, runs, overdue);
        retryPolicy = new RetryPolicy(this, random);
        taskValue = new TaskValue(this);
        pending = new PendingTasks(this, actions);
        Sender sender =
                new Sender(
                        this,
                        speed,
                        queue,
                        localSends,
                        pairs,
                        coldBudget,
                        overdue,
                        pending,
                        actions);
        rules =
                new Rules(
                        this,
                        reports,
                        choice,
                        admission,
                        retryPolicy,
                        pending,
                        sender,
                        random,
                        actions);
    }

    // ---- Inputs: the list ----

    /** A list, or changes to the one held, begins; a whole one names every worker there is. */
    public void listBegins(double at, boolean whole) {
        now = at;
        if (whole) {
            Arrays.fill(fleet.listed, 0, fleet.count, false);
        }
    }

    /**
     * What this worker is called: the same at every dispatcher, and said before it is first listed.
     */
    public void called(int w, String name) {
        fleet.ensureCapacity(w, 0);
        fleet.tag[w] = Workers.mixBits(name.hashCode());
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
        fleet.ensureCapacity(w, ofKind);
        fleet.rank[w] = fleet.rank[w] > 0 ? fleet.rank[w] : choice.randomRank(ofSize);
        boolean again = started > fleet.startedAt[w];
        fleet.listed[w] = true;
        fleet.state[w] = newState;
        fleet.zoneOf[w] = inZone;
        fleet.kindOf[w] = Math.max(0, ofKind);
        fleet.cellOf[w] = inCell;
        fleet.size[w] = ofSize > 0 ? ofSize : 1;
        if (again) {
            workerStarted(w, started);
        }
    }

    private void workerStarted(int w, double started) {
        fleet.startedAt[w] = started;
        // Guards against taking a new worker for as full as the others: it has just begun with
        // nothing.
        fleet.loadAt[w] = started;
        fleet.peerJobs[w] = 0;
        fleet.answeredAt[w] = 0;
        fleet.avoidUntil[w] = 0;
        Arrays.fill(fleet.failRate[w], 0);
        coldBudget.workerStarted(w, random.nextDouble());
    }

    /** The list is complete. A remembered one was not asked for, so it answers nothing. */
    public void listEnds(double at, boolean whole, boolean remembered) {
        now = at;
        if (whole) {
            for (int w = 0; w < fleet.count; w++) {
                fleet.state[w] = fleet.listed[w] ? fleet.state[w] : GONE;
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
        rules.applyAll();
    }

    /** A call for the list failed, or the changes stopped coming: ask again, later each time. */
    public void listFailed(double at) {
        now = at;
        rules.listFailed();
        rules.applyAll();
    }

    // ---- Inputs: what operators say ----

    /**
     * Nothing new goes to this worker until it is resumed, whatever the list says of it meanwhile.
     */
    public void suspended(double at, int w) {
        now = at;
        fleet.suspendedAt[w] = fleet.isSuspended(w) ? fleet.suspendedAt[w] : now;
        rules.applyAll();
    }

    /** Puts the worker back; what failed there under the ban says nothing of it now. */
    public void resumed(double at, int w) {
        now = at;
        if (fleet.isSuspended(w)) {
            // Guards rule four: it was restarted under the ban, and the list may tell so only
            // later.
            workerStarted(w, fleet.startedAt[w] < fleet.suspendedAt[w] ? now : fleet.startedAt[w]);
            fleet.suspendedAt[w] = Double.NaN;
        }
        reconsiderAll();
    }

    /**
     * So many slots are ours to use: who finds one is sent, as nobody queues. Never told: no bound.
     */
    public void granted(double at, int w, int slots) {
        now = at;
        fleet.grantedSlots[w] = slots;
        reconsiderAll();
    }

    public boolean isSuspended(int w) {
        return fleet.isSuspended(w);
    }

    // ---- Inputs: what another process has learned ----

    /** Takes what the process before this one had learned and still means the same here. */
    public void learn(double at, Map<?, ?> told) {
        now = at;
        LearnedSnapshot m = LearnedSnapshot.reader(told);
        transfer(m);
        // What it still has out there is the work of others from here on.
        double[] previousOwn = new double[fleet.count];
        m.perWorker("own", previousOwn, fleet.count);
        for (int w = 0; w < fleet.count; w++) {
            fleet.peerJobs[w] += previousOwn[w];
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
            actions.bounce(t, t.advice > 0 ? Math.min(t.advice, maxRetryAfter) : maxRetryAfter);
            return;
        }
        arrivalGap += (Math.min(now - lastArrival, arrivalGap * SAMPLES) - arrivalGap) / SAMPLES;
        lastArrival = now;
        firstArrival = Double.isNaN(firstArrival) ? now : firstArrival;
        int p = t.profile.index;
        t.work =
                t.hint > 0 && t.hint < t.profile.expiry * SAMPLES
                        ? runs.workFromHint(p, t.hint)
                        : profileWork[p];
        t.due = taskValue.due(t);
        t.worth = taskValue.worthOf(t);
        pending.add(t);
        rules.applyAll();
    }

    public void ended(double at, Assignment a, Outcome how, boolean over, double[] report) {
        now = at;
        if (!a.finished) {
            a.finished = true;
            overdue.ended(a);
            localSends.announce(a, false);
            localSends.smoothSlots(a.worker);
            fleet.unlink(a);
            a.task.inFlight--;
        }
        Task t = a.task;
        a.neverRan = how.neverRan();
        t.updateFirstRun();
        t.lastOutcome = how;
        learnFrom(a, how);
        reportReader.reported(a.worker, report);
        if (over) {
            t.ended = true;
            cancelInFlight(t);
        } else if (!t.ended && t.inFlight == 0) {
            pending.add(t);
        }
        rules.applyAll();
    }

    /** Each part learns what the outcome means to it. */
    private void learnFrom(Assignment a, Outcome how) {
        switch (how) {
            case OK -> {
                health.answered(a.worker, a.task.profile.index);
                runs.learnRun(a);
                taskValue.answered(a.task);
                admission.answered(a.task);
                pairs.countLateness(a);
            }
            case ERROR, RESET -> health.failed(a.worker, a.task.profile.index);
            case FULL, UNREACHABLE -> {
                pairs.countFull(a, how);
                health.avoid(a.worker);
            }
            default -> {}
        }
        future.recordJob(a, how);
    }

    public void started(double at, Assignment a) {
        now = at;
        if (Double.isNaN(a.startedAt)) {
            a.startedAt = now;
            pairs.countWait(a);
        }
        rules.applyAll();
    }

    /** A streamed answer has begun: the assignment is the client's from here. */
    public void accepted(double at, Assignment a) {
        now = at;
        a.task.ended = true;
        rules.applyAll();
    }

    public void progressed(double at, Assignment a, double share) {
        now = at;
        runs.progressed(a, share);
        rules.applyAll();
    }

    /**
     * The client left; nothing is owed any more, and what is out for it would take workers' time in
     * vain.
     */
    public void left(double at, Task t) {
        now = at;
        t.ended = true;
        cancelInFlight(t);
        rules.applyAll();
    }

    /** Cancels what is out for a task that has its end. */
    private void cancelInFlight(Task t) {
        for (int i = 0; i < t.tries && t.inFlight > 0 && mayCancel; i++) {
            if (!t.assignments[i].finished) {
                actions.cancel(t.assignments[i]);
            }
        }
    }

    public void probed(double at, int w, double[] report) {
        now = at;
        fleet.probing[w] = false;
        reportReader.reported(w, report);
        pending.reconsiderAfterReport(w);
        rules.applyAll();
    }

    /** The worker answered a request for a report with nothing in time, or turned it away. */
    public void reportMissing(double at, int w) {
        now = at;
        fleet.probing[w] = false;
        health.avoid(w);
        // Guards tasks at workers that hang: what may go again is called back, and its outcome
        // decides anew.
        for (Assignment a = fleet.oldest[w]; a != null && mayCancel; a = a.next) {
            if (retryPolicy.mayCancelToRetry(a)) {
                a.cancelled = true;
                actions.cancel(a);
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
        peerSends.messageReceived(peer, message);
        rules.applyAll();
    }

    public void wake(double at) {
        now = at;
        pending.woken();
        rules.applyAll();
    }

    // ---- Beliefs, as logs and tests ask for them ----

    double probabilityInTime(Task t, int w) {
        return score.probabilityInTime(t, w);
    }

    double load(int w, double ofOthers) {
        return queue.load(w, ofOthers);
    }

    double peerJobs(int w) {
        return queue.peerJobs(w);
    }

    double slotsOf(int w) {
        return speed.slotsOf(w);
    }

    double pace(int w) {
        return speed.pace(w);
    }

    double failRate(int w, int p) {
        return health.failRate(w, p);
    }

    double lateShareNow() {
        return admission.lateShareNow();
    }

    boolean inBudget(int w, double work) {
        return coldBudget.inBudget(w, work);
    }

    double tenantShare(Task t) {
        return taskValue.tenantShare(t);
    }

    void countPairs(int w, int believed, int told, int times) {
        pairs.count(w, believed, told, times);
    }
}
