package gingerspool.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MachineTest implements Machine.Ear {
    private final List<String> heard = new ArrayList<>();

    @Override
    public void started(Job job, double at) {
        heard.add("started " + job.id + " " + Math.round(at * 1000) / 1000.0);
    }

    @Override
    public void ended(Job job, double at) {
        heard.add("ended " + job.id + " " + Math.round(at * 1000) / 1000.0);
    }

    @Override
    public void handedBack(Job job, double at) {
        heard.add("back " + job.id);
    }

    private Machine machine(int slots, double cores, Machine.Order order) {
        heard.clear();
        return new Machine(new Machine.Spec(slots, cores, 100, 1000, order, 1, 1, 0), 0, this);
    }

    private static Job job(String id, int width, int priority, double told, double work) {
        return new Job(id, "p", width, 0, priority, told, work);
    }

    /**
     * A queue and the closed form of its mean wait: slots, share of capacity used, squared
     * variation of work.
     */
    @DataProvider
    public Object[][] queues() {
        return new Object[][] {
            {"M/M/1", 1, 0.5, 1.0},
            {"M/M/1", 1, 0.8, 1.0},
            {"M/M/4", 4, 0.7, 1.0},
            {"M/M/16", 16, 0.85, 1.0},
            {"M/D/1", 1, 0.7, 0.0},
            {"M/G/1", 1, 0.6, 2.0}
        };
    }

    /** Erlang's C: the chance to wait with c servers and an offered load of a. */
    private static double erlang(int c, double a) {
        double sum = 0;
        double term = 1;
        for (int k = 0; k < c; k++) {
            sum += term;
            term *= a / (k + 1);
        }
        double last = term * c / (c - a);
        return last / (sum + last);
    }

    @Test(dataProvider = "queues")
    public void meanWaitsFollowTheClosedForms(
            String name, int slots, double load, double variation) {
        double mean = 10;
        // Pollaczek and Khinchine for one server, Erlang for many; the latter for exponential work
        // only.
        double wanted =
                slots == 1
                        ? load * mean * (1 + variation) / 2 / (1 - load)
                        : erlang(slots, slots * load) * mean / (slots * (1 - load));
        // Means of batches are nearly independent: 30 of them give an interval that holds 99.9 of
        // 100 truths.
        int batches = 30;
        double[] means = new double[batches];
        SplittableRandom r = new SplittableRandom(slots * 31 + (int) (100 * load));
        DoubleSupplier work =
                () ->
                        variation == 0
                                ? mean
                                : variation == 1
                                        ? -mean * Math.log(1 - r.nextDouble())
                                        : lognormal(r, mean, variation);
        for (int b = 0; b < batches; b++) {
            means[b] = meanWait(slots, load, mean, 20_000, r, work);
        }
        double m = 0;
        double v = 0;
        for (double x : means) {
            m += x / batches;
        }
        for (double x : means) {
            v += (x - m) * (x - m) / (batches - 1);
        }
        double half = 3.66 * Math.sqrt(v / batches);
        assertTrue(
                Math.abs(m - wanted) <= half,
                name + ": " + m + " +- " + half + ", wanted " + wanted);
        assertTrue(half < 0.2 * wanted, "too wide to tell: " + half);
    }

    private static double lognormal(SplittableRandom r, double mean, double variation) {
        double s2 = Math.log(1 + variation);
        double normal =
                Math.sqrt(-2 * Math.log(1 - r.nextDouble()))
                        * Math.cos(2 * Math.PI * r.nextDouble());
        return mean * Math.exp(Math.sqrt(s2) * normal - s2 / 2);
    }

    private static double meanWait(
            int slots,
            double load,
            double mean,
            int jobs,
            SplittableRandom r,
            DoubleSupplier work) {
        double[] waited = new double[1];
        double[] came = new double[jobs];
        Machine m =
                new Machine(
                        new Machine.Spec(
                                slots, slots, 1e9, 1 << 30, Machine.Order.FIRST_COME, 1, 1, 0),
                        0,
                        new Machine.Ear() {
                            @Override
                            public void started(Job job, double at) {
                                int n = Integer.parseInt(job.id);
                                waited[0] += n >= jobs / 10 ? at - came[n] : 0;
                            }

                            @Override
                            public void ended(Job job, double at) {}

                            @Override
                            public void handedBack(Job job, double at) {}
                        });
        double now = 0;
        for (int i = 0; i < jobs; i++) {
            now -= mean / slots / load * Math.log(1 - r.nextDouble());
            m.advance(now);
            came[i] = now;
            m.offer(new Job(Integer.toString(i), "p", 1, 0, 0, 0, work.getAsDouble()));
        }
        m.advance(now + 1e9);
        return waited[0] / (jobs - jobs / 10);
    }

    /**
     * Found in the first experiment: at Unix times what was left of a job was less than the clock's
     * grain.
     */
    @Test(timeOut = 20_000)
    public void atUnixTimesEveryJobEnds() {
        heard.clear();
        double begin = 1.796e12;
        Machine m =
                new Machine(
                        new Machine.Spec(3, 2, 100, 1000, Machine.Order.FIRST_COME, 1.37, 0.3, 50),
                        begin,
                        this);
        SplittableRandom r = new SplittableRandom(2);
        double now = begin;
        for (int i = 0; i < 20_000; i++) {
            now += 20 * r.nextDouble();
            m.advance(now);
            m.offer(job("j" + i, 1, 0, 0, 20 * r.nextDouble()));
        }
        m.advance(now + 1e6);
        assertEquals(m.jobs().size(), 0);
        assertEquals(heard.size(), 40_000);
    }

    @Test
    public void moreBusySlotsThanCoresShareThem() {
        Machine m = machine(4, 2, Machine.Order.FIRST_COME);
        for (int i = 0; i < 4; i++) {
            m.offer(job("j" + i, 1, 0, 0, 10));
        }
        m.advance(19);
        assertEquals(m.runs(), 4);
        m.advance(20.001);
        assertEquals(m.runs(), 0);
        assertEquals(m.workDone(), 40, 0.01);
    }

    @Test
    public void aStallHoldsEverythingAndEndsAsItBegan() {
        Machine m = machine(1, 1, Machine.Order.FIRST_COME);
        m.offer(job("a", 1, 0, 0, 10));
        m.advance(4);
        m.stall(true);
        m.offer(job("b", 1, 0, 0, 10));
        m.advance(100);
        m.stall(false);
        m.advance(200);
        assertEquals(
                heard,
                List.of("started a 0.0", "ended a 106.0", "started b 106.0", "ended b 116.0"));
    }

    @Test
    public void whatSlowsSharesOrShrinksItCostsTime() {
        Machine m = machine(2, 2, Machine.Order.FIRST_COME);
        m.slow(4);
        m.offer(job("a", 1, 0, 0, 10));
        m.advance(40);
        m.slow(1);
        m.steal(1);
        m.offer(job("b", 1, 0, 0, 10));
        m.offer(job("c", 1, 0, 0, 10));
        m.advance(60);
        m.steal(0);
        m.shrink(1);
        m.offer(job("d", 1, 0, 0, 10));
        m.offer(job("e", 1, 0, 0, 10));
        m.advance(100);
        heard.removeIf(h -> !h.startsWith("ended"));
        assertEquals(
                heard,
                List.of(
                        "ended a 40.0",
                        "ended b 60.0",
                        "ended c 60.0",
                        "ended d 70.0",
                        "ended e 80.0"));
    }

    @Test
    public void aColdMachineGetsFasterAsItWarms() {
        heard.clear();
        Machine m =
                new Machine(
                        new Machine.Spec(1, 1, 1, 10, Machine.Order.FIRST_COME, 1, 0.5, 100),
                        0,
                        this);
        m.offer(job("a", 1, 0, 0, 100));
        m.advance(1000);
        // Over the first 100 ms its mean speed is nearly 0.75; the steps make it a little slower.
        double end = Double.parseDouble(heard.get(1).split(" ")[2]);
        assertEquals(end, 125.4, 0.5);
    }

    @Test
    public void priorityGoesFirstAndBackfillFillsTheGap() {
        Machine m = machine(1, 1, Machine.Order.PRIORITY);
        m.offer(job("a", 1, 0, 0, 10));
        m.offer(job("low", 1, 1, 0, 10));
        m.offer(job("high", 1, 5, 0, 10));
        m.advance(100);
        assertEquals(heard.get(2), "started high 10.0");
        m = machine(2, 2, Machine.Order.BACKFILL);
        m.offer(job("a", 1, 0, 10, 10));
        m.offer(job("wide", 2, 0, 10, 10));
        m.offer(job("long", 1, 0, 20, 20));
        m.offer(job("short", 1, 0, 5, 5));
        m.advance(5.5);
        assertEquals(heard, List.of("started a 0.0", "started short 0.0", "ended short 5.0"));
        m.advance(10.5);
        assertTrue(heard.contains("started wide 10.0"), heard.toString());
    }

    @Test
    public void fullDrainingOrTooWideIsRefused() {
        heard.clear();
        Machine m =
                new Machine(
                        new Machine.Spec(1, 1, 4, 1, Machine.Order.FIRST_COME, 1, 1, 0), 0, this);
        assertTrue(m.offer(job("a", 1, 0, 0, 10)));
        assertTrue(m.offer(job("b", 1, 0, 0, 10)));
        assertFalse(m.offer(job("c", 1, 0, 0, 10)));
        assertFalse(m.offer(job("d", 2, 0, 0, 10)));
        assertFalse(m.offer(new Job("e", "p", 1, 5, 0, 0, 1)));
        m.drain();
        assertEquals(heard.get(1), "back b");
        m.advance(20);
        assertFalse(m.offer(job("f", 1, 0, 0, 10)));
        assertEquals(m.drop("a"), null);
    }

    @Test
    public void whatIsDroppedMakesRoom() {
        Machine m = machine(1, 1, Machine.Order.FIRST_COME);
        m.offer(job("a", 1, 0, 0, 10));
        m.offer(job("b", 1, 0, 0, 10));
        m.offer(job("c", 1, 0, 0, 10));
        m.advance(5);
        assertEquals(m.drop("b"), Boolean.FALSE);
        assertEquals(m.drop("a"), Boolean.TRUE);
        assertEquals(m.drop("a"), null);
        m.advance(20);
        assertEquals(heard, List.of("started a 0.0", "started c 5.0", "ended c 15.0"));
    }
}
