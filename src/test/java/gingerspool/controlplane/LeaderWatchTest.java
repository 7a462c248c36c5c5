package gingerspool.controlplane;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** When the settings file is due to be read again because no leader is known. */
public class LeaderWatchTest {
    @Test
    public void isDueEveryFourIntervalsWithoutLeader() {
        LeaderWatch watch = new LeaderWatch(1_000, 0);
        StringBuilder dueTimes = new StringBuilder();
        for (int at = 500; at <= 20_000; at += 500) {
            boolean knowsLeader = at > 1_000 && at <= 6_000 || at == 15_000;
            if (watch.isReloadDue(knowsLeader, at)) {
                dueTimes.append(at).append(' ');
            }
        }
        assertEquals(dueTimes.toString(), "10000 14000 19000 ");
    }
}
