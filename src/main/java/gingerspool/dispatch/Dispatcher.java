package gingerspool.dispatch;

import java.util.Arrays;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Makes all decisions of one scheduler: which worker gets a task, admission and retries. Each input
 * is one call that carries the current time (listed, arrived, ended, started, wake ...). After each
 * input the {@link Rules} are applied in order until none matches; the only effects are calls of
 * {@link DispatchActions}.
 *
 * <p>Not thread-safe: the host calls it on the scheduler's event loop. Workers are dense indexes
 * given by the caller, times and spans are milliseconds. See docs/design.md.
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

    /** Creates a dispatcher for the deployment; the seed makes its random choices repeatable. */
    public Dispatcher(DispatcherSettings settings, long seed, DispatchActions actions) {
        super(settings, QueuedWork.REGIONS, FutureArrivals.BINS + 1);
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

    // ---- Inputs: the worker list ----

    /** Begins a worker list, or changes to the one held; a whole list names every worker. */
    public void listBegins(double at, boolean whole) {
        now = at;
        if (whole) {
            Arrays.fill(fleet.listed, 0, fleet.count, false);
        }
    }

    /**
     * Sets the name of a worker. It is the same at every dispatcher and is set before the worker is
     * first listed.
     */
    public void workerNamed(int w, String name) {
        fleet.ensureCapacity(w, 0);
        fleet.tag[w] = Workers.mixBits(name.hashCode());
    }

    /**
     * One entry of the list; the state is GONE, DRAINING or RUNNING, the start time is Unix time.
     */
    public void listed(
            int w, int zone, int kind, int cell, int state, double size, double started) {
        fleet.ensureCapacity(w, kind);
        fleet.rank[w] = fleet.rank[w] > 0 ? fleet.rank[w] : choice.randomRank(size);
        boolean restarted = started > fleet.startedAt[w];
        fleet.listed[w] = true;
        fleet.state[w] = state;
        fleet.zoneOf[w] = zone;
        fleet.kindOf[w] = Math.max(0, kind);
        fleet.cellOf[w] = cell;
        fleet.size[w] = size > 0 ? size : 1;
        if (restarted) {
            workerStarted(w, started);
        }
    }

    private void workerStarted(int w, double started) {
        fleet.startedAt[w] = started;
        // Guards against assuming that a new worker is as full as the others: it starts empty.
        fleet.loadAt[w] = started;
        fleet.peerJobs[w] = 0;
        fleet.answeredAt[w] = 0;
        fleet.avoidUntil[w] = 0;
        Arrays.fill(fleet.failRate[w], 0);
        coldBudget.workerStarted(w, random.nextDouble());
    }

    /** Ends the list. A remembered one was not requested, so it does not answer a request. */
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

    /** Decides on all pending tasks again, since other workers may take them now. */
    private void reconsiderAll() {
        pending.reconsiderAll();
        rules.applyAll();
    }

    /** A list request failed, or the stream of changes ended: retries with backoff. */
    public void listFailed(double at) {
        now = at;
        rules.listFailed();
        rules.applyAll();
    }

    // ---- Inputs: operator actions and slot grants ----

    /** Sends nothing new to the worker until it is resumed, whatever the list says meanwhile. */
    public void suspended(double at, int w) {
        now = at;
        fleet.suspendedAt[w] = fleet.isSuspended(w) ? fleet.suspendedAt[w] : now;
        rules.applyAll();
    }

    /** Resumes a suspended worker; failures during the suspension no longer count. */
    public void resumed(double at, int w) {
        now = at;
        if (fleet.isSuspended(w)) {
            // Guards the limit on cold workers: it may have restarted while suspended, and the list
            // may show that only later.
            workerStarted(w, fleet.startedAt[w] < fleet.suspendedAt[w] ? now : fleet.startedAt[w]);
            fleet.suspendedAt[w] = Double.NaN;
        }
        reconsiderAll();
    }

    /**
     * Sets how many slots of the worker this dispatcher may use. Tasks do not queue at workers with
     * a grant: one that finds a granted slot free is sent. Without a grant there is no bound.
     */
    public void granted(double at, int w, int slots) {
        now = at;
        fleet.grantedSlots[w] = slots;
        reconsiderAll();
    }

    public boolean isSuspended(int w) {
        return fleet.isSuspended(w);
    }

    // ---- Inputs: estimates of another process ----

    /** Restores the previous process's estimates, as far as they are valid in this deployment. */
    public void restoreLearned(double at, Map<?, ?> learned) {
        now = at;
        LearnedSnapshot snapshot = LearnedSnapshot.reader(learned);
        transfer(snapshot);
        // Its unfinished sends count as jobs of a peer from here on.
        double[] previousOwn = new double[fleet.count];
        snapshot.perWorker("own", previousOwn, fleet.count);
        for (int w = 0; w < fleet.count; w++) {
            fleet.peerJobs[w] += previousOwn[w];
        }
        fleet.order();
        reconsiderAll();
    }

    // ---- Inputs: tasks ----

    /** A task arrived. It is rejected at once if it exceeded a limit set by the operator. */
    public void arrived(double at, Task t) {
        now = at;
        t.arrived = now;
        if (t.overLimit) {
            t.ended = true;
            actions.bounce(
                    t, t.retryAfter > 0 ? Math.min(t.retryAfter, maxRetryAfter) : maxRetryAfter);
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

    /** An assignment ended; over: the task is answered by it. The report may be null. */
    public void ended(double at, Assignment a, Outcome outcome, boolean over, double[] report) {
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
        a.neverRan = outcome.neverRan();
        t.updateFirstRun();
        t.lastOutcome = outcome;
        learnFrom(a, outcome);
        reportReader.reported(a.worker, report);
        if (over) {
            t.ended = true;
            cancelInFlight(t);
        } else if (!t.ended && t.inFlight == 0) {
            pending.add(t);
        }
        rules.applyAll();
    }

    /** Passes the outcome to the parts that learn from it. */
    private void learnFrom(Assignment a, Outcome outcome) {
        switch (outcome) {
            case OK -> {
                health.answered(a.worker, a.task.profile.index);
                runs.learnRun(a);
                taskValue.answered(a.task);
                admission.answered(a.task);
                pairs.countLateness(a);
            }
            case ERROR, RESET -> health.failed(a.worker, a.task.profile.index);
            case FULL, UNREACHABLE -> {
                pairs.countFull(a, outcome);
                health.avoid(a.worker);
            }
            default -> {}
        }
        future.recordJob(a, outcome);
    }

    /** A worker sent a start notice for the assignment. */
    public void started(double at, Assignment a) {
        now = at;
        if (Double.isNaN(a.startedAt)) {
            a.startedAt = now;
            pairs.countWait(a);
        }
        rules.applyAll();
    }

    /** A streamed answer has begun: the task is not assigned again. */
    public void accepted(double at, Assignment a) {
        now = at;
        a.task.ended = true;
        rules.applyAll();
    }

    /** A worker reported progress; share is from 0 to 1. */
    public void progressed(double at, Assignment a, double share) {
        now = at;
        runs.progressed(a, share);
        rules.applyAll();
    }

    /**
     * The client disconnected: it needs no answer, and assignments in flight are cancelled, since
     * they would waste workers' time.
     */
    public void clientLeft(double at, Task t) {
        now = at;
        t.ended = true;
        cancelInFlight(t);
        rules.applyAll();
    }

    /** Cancels assignments still in flight for an ended task. */
    private void cancelInFlight(Task t) {
        for (int i = 0; i < t.tries && t.inFlight > 0 && mayCancel; i++) {
            if (!t.assignments[i].finished) {
                actions.cancel(t.assignments[i]);
            }
        }
    }

    /** The report requested by a probe arrived. */
    public void reportReceived(double at, int w, double[] report) {
        now = at;
        fleet.probing[w] = false;
        reportReader.reported(w, report);
        pending.reconsiderAfterReport(w);
        rules.applyAll();
    }

    /** The worker did not answer a probe for a report in time, or refused it. */
    public void reportMissing(double at, int w) {
        now = at;
        fleet.probing[w] = false;
        health.avoid(w);
        // Guards tasks at workers that hang: those that may be retried are cancelled and decided
        // again by that outcome.
        for (Assignment a = fleet.oldest[w]; a != null && mayCancel; a = a.next) {
            if (retryPolicy.mayCancelToRetry(a)) {
                a.cancelled = true;
                actions.cancel(a);
            }
        }
        reconsiderAll();
    }

    /** Handles a message of another dispatcher, see {@link PeerMessage}. */
    public void peerMessageReceived(double at, int peer, byte[] message) {
        now = at;
        peerSends.messageReceived(peer, message);
        rules.applyAll();
    }

    /** The timer set by DispatchActions.wakeAfter() fired. */
    public void wake(double at) {
        now = at;
        pending.woken();
        rules.applyAll();
    }

    // ---- Estimates, for logs and tests ----

    double probabilityInTime(Task t, int w) {
        return score.probabilityInTime(t, w);
    }

    double load(int w, double peerJobs) {
        return queue.load(w, peerJobs);
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

    void countPairs(int w, int believed, int observed, int times) {
        pairs.count(w, believed, observed, times);
    }
}
