package gingerspool.simulation;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;

import gingerspool.simulation.OperatorHistory.Answer;
import gingerspool.simulation.OperatorHistory.Call;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Histories made by hand that are linearizable, and that are not. */
public class LinearizabilityCheckerTest {
    private static final Order FIRST = new Order(0, 2, 1);
    private static final Order RIVAL = new Order(0, 2, 2);
    private static final Order SECOND = new Order(2, 5, 3);
    private static final Order THIRD = new Order(5, 6, 4);

    private final List<Call> calls = new ArrayList<>();

    private LinearizabilityCheckerTest call(Order order, double begin, double end, int status) {
        Call call = new Call(order, begin);
        call.end = end;
        call.answer = new Answer(status, order.version(), order.content());
        calls.add(call);
        return this;
    }

    private LinearizabilityCheckerTest lost(Order order, double begin) {
        calls.add(new Call(order, begin));
        return this;
    }

    private LinearizabilityCheckerTest read(Order seen, double begin, double end) {
        Call call = new Call(null, begin);
        call.end = end;
        call.answer =
                seen == null
                        ? new Answer(200, 0, 0)
                        : new Answer(200, seen.version(), seen.content());
        calls.add(call);
        return this;
    }

    private static LinearizabilityCheckerTest history() {
        return new LinearizabilityCheckerTest();
    }

    private void holds() {
        assertNull(LinearizabilityChecker.check(calls));
    }

    private void fails() {
        assertNotNull(LinearizabilityChecker.check(calls));
    }

    @Test
    public void oneAfterTheOther() {
        history().read(null, 0, 1).call(FIRST, 2, 3, 200).read(FIRST, 4, 5).holds();
        history().call(FIRST, 0, 1, 200).call(SECOND, 2, 3, 200).read(SECOND, 4, 5).holds();
    }

    @Test
    public void staleRead() {
        history().call(FIRST, 0, 1, 200).read(null, 2, 3).fails();
        history().call(FIRST, 0, 1, 200).call(SECOND, 2, 3, 200).read(FIRST, 4, 5).fails();
    }

    @Test
    public void readDuringAChangeSeesEither() {
        history().call(FIRST, 0, 9, 200).read(null, 1, 2).read(FIRST, 3, 4).holds();
        history().call(FIRST, 0, 9, 200).read(FIRST, 1, 2).read(null, 3, 4).fails();
    }

    @Test
    public void readThatGoesBack() {
        history().lost(FIRST, 0).read(FIRST, 1, 2).read(null, 3, 4).fails();
        history().lost(FIRST, 0).read(null, 1, 2).read(FIRST, 3, 4).holds();
    }

    @Test
    public void readOfWhatNobodySent() {
        history().read(FIRST, 0, 1).fails();
        history().call(FIRST, 2, 3, 200).read(RIVAL, 4, 5).fails();
        history().read(FIRST, 0, 1).call(FIRST, 2, 3, 200).fails();
    }

    @Test
    public void lostAcknowledgement() {
        history().lost(FIRST, 0).call(FIRST, 5, 6, 200).read(FIRST, 7, 8).holds();
        history().lost(FIRST, 0).call(FIRST, 5, 6, 412).read(FIRST, 7, 8).fails();
        history().lost(FIRST, 0).call(RIVAL, 5, 6, 412).read(FIRST, 7, 8).holds();
        history().lost(FIRST, 0).read(null, 99, 100).holds();
    }

    @Test
    public void acknowledgedAndGone() {
        history().call(FIRST, 0, 1, 200).call(SECOND, 2, 3, 412).fails();
        history().call(FIRST, 0, 1, 200).call(RIVAL, 2, 3, 200).fails();
    }

    @Test
    public void twoWinnersOnOneVersion() {
        history().call(FIRST, 0, 9, 200).call(RIVAL, 0, 9, 200).fails();
        history().call(FIRST, 0, 9, 200).call(RIVAL, 0, 9, 412).holds();
        history().call(FIRST, 0, 9, 412).call(RIVAL, 0, 9, 412).fails();
        history().lost(new Order(0, 9, 9), 0).call(FIRST, 1, 2, 412).holds();
    }

    @Test
    public void repeatOfATakenOrder() {
        history().call(FIRST, 0, 1, 200).call(SECOND, 2, 3, 200).call(FIRST, 4, 5, 200).holds();
        history().call(FIRST, 0, 1, 200).call(SECOND, 2, 3, 200).call(FIRST, 4, 5, 412).fails();
        history().call(FIRST, 0, 1, 200).call(FIRST, 4, 5, 400).fails();
    }

    @Test
    public void repeatSaysTheVersionThatItMade() {
        history().call(FIRST, 0, 1, 200).call(SECOND, 2, 3, 200).holds();
        Call repeat = new Call(FIRST, 4);
        repeat.end = 5;
        repeat.answer = new Answer(200, SECOND.version(), SECOND.content());
        LinearizabilityCheckerTest wrong = history().call(FIRST, 0, 1, 200).call(SECOND, 2, 3, 200);
        wrong.calls.add(repeat);
        wrong.fails();
    }

    @Test
    public void chainOfLostOrdersExplainsALateRead() {
        history().lost(FIRST, 0).lost(SECOND, 0).lost(THIRD, 0).read(THIRD, 8, 9).holds();
        history().lost(FIRST, 0).lost(THIRD, 0).read(THIRD, 8, 9).fails();
        history().lost(FIRST, 0).lost(SECOND, 9).read(SECOND, 7, 8).fails();
    }

    @Test
    public void invalidIsRefused() {
        Order low = new Order(2, 1, 7);
        history().call(FIRST, 0, 1, 200).call(low, 2, 3, 400).read(FIRST, 4, 5).holds();
        history().call(FIRST, 0, 1, 200).call(low, 2, 3, 200).fails();
        history().call(SECOND, 0, 1, 400).fails();
    }
}
