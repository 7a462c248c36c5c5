package gingerspool.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.DecisionTrace;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.testng.annotations.Test;

/**
 * Compares decisions, to the bit, with the recorded ones in src/test/resources/traces. Random
 * inputs, repeatable by seed, drive a {@link Dispatcher} as the job scheduler does (reports,
 * probes, peers, operators) and as the platform's scheduler does (granted slots, terms by route).
 */
public class DecisionTraceTest {
    private static final int SEEDS = 6;

    /** Random inputs per seed and mode. */
    private static final int STEPS = 1500;

    private static final int WORKERS = 12;

    /**
     * Drives one dispatcher with random inputs and records its actions. Their names are part of the
     * recorded traces.
     */
    private static final class DispatcherDriver implements DispatchActions {
        private final SplittableRandom random;

        /** Whether to drive the platform's mode, else the job scheduler's. */
        private final boolean platform;

        private final DecisionTrace trace = new DecisionTrace();
        private final DispatcherSettings settings = new DispatcherSettings();
        private final Dispatcher dispatcher;
        private final List<Assignment> inFlight = new ArrayList<>();
        private final List<Task> tasks = new ArrayList<>();
        private final List<Integer> probedWorkers = new ArrayList<>();
        private final PriorityQueue<Double> wakeTimes = new PriorityQueue<>();
        private final RetryBudget retryBudget = new RefillingBudget();

        /** Simulated time in milliseconds. */
        private double now;

        /** A retry budget that runs out and is refilled by first tries. */
        private static final class RefillingBudget implements RetryBudget {
            private double remaining = 5;

            @Override
            public boolean allows(double now) {
                return remaining >= 1;
            }

            @Override
            public void earn(double now) {
                remaining += 0.3;
            }

            @Override
            public void spend(double now) {
                remaining--;
            }
        }

        DispatcherDriver(long seed, boolean platform) {
            this.platform = platform;
            random = new SplittableRandom(seed);
            Profile.Effect[] effects = Profile.Effect.values();
            settings.profiles = new Profile[4];
            for (int i = 0; i < settings.profiles.length; i++) {
                settings.profiles[i] = profile(i, effects[i % effects.length]);
            }
            if (platform) {
                configurePlatform();
            } else {
                configureJobScheduler(seed);
            }
            dispatcher = new Dispatcher(settings, 31 * seed, this);
            listWorkers(true);
        }

        private static Profile profile(int index, Profile.Effect effect) {
            Profile p = new Profile();
            p.index = index;
            p.name = "p" + index;
            p.dueTime = 60 + 90 * index;
            p.stretch = index % 2;
            p.expiry = 1500 + 800 * index;
            p.dedupWindow = 700;
            p.utility = 1 + index;
            p.tardyUtility = 0.2 * index;
            p.priority = index % 3;
            p.effect = effect;
            p.scope = index == 1 ? Profile.Scope.ZONE : Profile.Scope.ALL;
            return p;
        }

        private void configureJobScheduler(long seed) {
            settings.zone = 0;
            settings.dispatchers = 4;
            settings.listOnRequest = seed % 2 == 0;
            settings.kinds = new String[] {"small", "large"};
            settings.reportNames = new String[] {"queue", "free"};
            settings.reportsByProbe = seed % 3 != 0;
            settings.reportsInAnswers = seed % 3 != 1;
            settings.order = DispatcherSettings.Order.values()[(int) (seed % 3)];
            settings.mayProbe = settings.reportsByProbe;
            settings.mayCancel = seed % 2 == 1;
            settings.mayMessagePeers = seed % 2 == 0;
            settings.mayAdviseRetryAfter = true;
            settings.maxRetryAfter = 900;
            settings.maxAssignments = 4;
            settings.listRequestWindow = 5000;
            settings.tailWeight = 0.1;
            settings.toleratedMissShare = 0.05;
            settings.worstProfileWeight = 0.15;
            settings.coldShare = 0.25;
            settings.warmUpSpan = 3000;
            settings.coldWindow = 1000;
            settings.overloadFactor = 3;
            settings.zoneFee = 0.05;
            settings.probeFee = 0.02;
            settings.notifiesStart = true;
            settings.allowance = new double[] {40, 60};
        }

        private void configurePlatform() {
            settings.zone = 1;
            settings.dispatchers = 3;
            settings.kinds = new String[] {"instance"};
            settings.reportNames = new String[] {"free"};
            settings.reportsInAnswers = true;
            settings.mayCancel = true;
            settings.mayAdviseRetryAfter = true;
            settings.maxRetryAfter = 500;
            settings.maxAssignments = 8;
            settings.zoneFee = 0.05;
        }

        private void listWorkers(boolean whole) {
            dispatcher.listBegins(now, whole);
            for (int w = 0; w < WORKERS; w++) {
                if (whole || random.nextInt(3) == 0) {
                    boolean draining = now > 0 && random.nextInt(8) == 0;
                    dispatcher.workerNamed(w, "worker-" + w);
                    dispatcher.listed(
                            w,
                            w % 3,
                            platform ? 0 : w % 2,
                            w / 4,
                            draining ? Dispatcher.DRAINING : Dispatcher.RUNNING,
                            1 + w % 4,
                            random.nextInt(20) == 0 ? now : 0);
                }
            }
            dispatcher.listEnds(now, whole, random.nextInt(5) == 0);
            if (platform) {
                for (int w = 0; w < WORKERS; w++) {
                    dispatcher.granted(now, w, random.nextInt(3));
                }
            }
        }

        private void applyRandomInput() {
            now += -Math.log(1 - random.nextDouble()) * 6;
            while (!wakeTimes.isEmpty() && wakeTimes.peek() <= now) {
                dispatcher.wake(Math.max(wakeTimes.poll(), 0));
            }
            trace.add(now, "step", inFlight.size());
            switch (random.nextInt(24)) {
                case 0, 1, 2, 3, 4, 5, 6 -> addTask();
                case 7, 8, 9, 10, 11, 12 -> endAssignment();
                case 13, 14 -> answerProbe();
                case 15 -> disconnectClient();
                case 16 -> grantOrReport();
                case 17 -> startOrProgress();
                case 18 -> suspendOrResume();
                case 19 -> receivePeerMessage();
                case 20 -> changeList();
                default -> dispatcher.wake(now);
            }
        }

        private void addTask() {
            Task t = new Task("t" + tasks.size());
            t.profile = settings.profiles[random.nextInt(settings.profiles.length)];
            t.expiry = now + t.profile.expiry;
            t.hint = random.nextInt(3) == 0 ? 0 : 10 + random.nextInt(120);
            t.tenant = platform ? -1 : random.nextInt(3) - 1;
            t.memory = random.nextInt(4);
            t.overLimit = random.nextInt(60) == 0;
            if (platform) {
                t.terms = randomTerms(1 + random.nextInt(3));
            } else if (random.nextInt(4) == 0) {
                t.terms = new Terms(3, 400, 5, 80, 0.5, 2, 50, retryBudget, null);
            }
            tasks.add(t);
            dispatcher.arrived(now, t);
        }

        private Terms randomTerms(int attempts) {
            return random.nextBoolean()
                    ? new Terms(attempts, 0, 0, 0, 0, Math.min(2, attempts), 75, retryBudget, null)
                    : new Terms(
                            4,
                            0,
                            0,
                            0,
                            0,
                            1,
                            0,
                            null,
                            EnumSet.of(Outcome.UNREACHABLE, Outcome.MOOT));
        }

        private void endAssignment() {
            if (!inFlight.isEmpty()) {
                Assignment a = inFlight.remove(random.nextInt(inFlight.size()));
                Outcome[] outcomes = Outcome.values();
                Outcome outcome =
                        random.nextInt(3) > 0
                                ? Outcome.OK
                                : outcomes[random.nextInt(outcomes.length)];
                boolean over = outcome == Outcome.OK || a.task.ended();
                dispatcher.ended(
                        now, a, outcome, over, random.nextBoolean() ? randomReport() : null);
            }
        }

        private double[] randomReport() {
            double[] report = new double[Report.SIZE];
            Arrays.fill(report, Double.NaN);
            report[Report.QUEUE] = random.nextInt(3) == 0 ? Double.NaN : random.nextInt(6);
            report[Report.FREE_SLOTS] = random.nextInt(4);
            return report;
        }

        private void answerProbe() {
            if (!probedWorkers.isEmpty()) {
                int w = probedWorkers.remove(random.nextInt(probedWorkers.size()));
                if (random.nextInt(5) == 0) {
                    dispatcher.reportMissing(now, w);
                } else {
                    dispatcher.reportReceived(now, w, randomReport());
                }
            }
        }

        private void disconnectClient() {
            List<Task> openTasks = tasks.stream().filter(t -> !t.ended()).toList();
            if (!openTasks.isEmpty()) {
                dispatcher.clientLeft(now, openTasks.get(random.nextInt(openTasks.size())));
            }
        }

        private void grantOrReport() {
            int w = random.nextInt(WORKERS);
            if (platform) {
                dispatcher.granted(now, w, random.nextInt(4));
                dispatcher.reportReceived(now, w, randomReport());
            }
        }

        private void startOrProgress() {
            if (!inFlight.isEmpty() && !platform) {
                Assignment a = inFlight.get(random.nextInt(inFlight.size()));
                if (random.nextBoolean()) {
                    dispatcher.started(now, a);
                } else {
                    dispatcher.progressed(now, a, random.nextDouble());
                }
            }
        }

        private void suspendOrResume() {
            int w = random.nextInt(WORKERS);
            if (!platform && dispatcher.isSuspended(w)) {
                dispatcher.resumed(now, w);
            } else if (!platform && random.nextInt(4) == 0) {
                dispatcher.suspended(now, w);
            }
        }

        private void receivePeerMessage() {
            if (!platform && settings.mayMessagePeers) {
                byte[] message = new byte[random.nextInt(12)];
                for (int i = 0; i < message.length; i++) {
                    message[i] = (byte) random.nextInt(256);
                }
                dispatcher.peerMessageReceived(now, random.nextInt(4), message);
            }
        }

        private void changeList() {
            if (random.nextInt(4) == 0 && !platform) {
                dispatcher.listFailed(now);
            } else {
                listWorkers(random.nextInt(6) == 0);
            }
        }

        @Override
        public void send(Assignment a, double timeout) {
            inFlight.add(a);
            trace.add(now, "send", a.task.id, a.worker, a.number, timeout);
        }

        @Override
        public void bounce(Task task, double pause) {
            trace.add(now, "bounce", task.id, pause);
        }

        @Override
        public void abandon(Task task) {
            trace.add(now, "abandon", task.id);
        }

        @Override
        public void cancel(Assignment a) {
            trace.add(now, "cancel", a.task.id, a.worker, a.number);
        }

        @Override
        public void probe(int worker) {
            probedWorkers.add(worker);
            trace.add(now, "probe", worker);
        }

        @Override
        public void sendToPeer(int peer, byte[] message) {
            trace.add(now, "tell", peer, message);
        }

        @Override
        public void watchList() {
            trace.add(now, "watch");
        }

        @Override
        public void wakeAfter(double span) {
            wakeTimes.add(now + span);
            trace.add(now, "wake", span);
        }
    }

    @Test
    public void decisionsMatchRecordedTraces() {
        Map<String, String> traces = new TreeMap<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            for (boolean platform : new boolean[] {false, true}) {
                DispatcherDriver driver = new DispatcherDriver(seed, platform);
                for (int i = 0; i < STEPS; i++) {
                    driver.applyRandomInput();
                }
                assertTrue(
                        driver.trace.lines() > STEPS + 500,
                        "too few decisions: " + driver.trace.lines());
                traces.put((platform ? "platform " : "jobs ") + seed, driver.trace.end());
            }
        }
        assertEquals(traces, DecisionTrace.recorded("dispatch", traces));
    }
}
