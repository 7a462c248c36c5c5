package gingerspool.handover;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.handover.Succession.Action;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SuccessionTest {
    /** Inputs in order, and what the last of them has done. */
    @DataProvider
    public Object[][] table() {
        return new Object[][] {
            {"alone", Action.SERVE_ALONE},
            {"named", Action.ASK},
            {"named state", Action.TAKE},
            {"named nostate", Action.SERVE_ALONE},
            {"named state nostate", Action.NONE},
            {"named state retired", Action.SERVE},
            {"named state refused", Action.ASK},
            {"named state refused state", Action.TAKE},
            {"named retired", Action.NONE},
            {"named refused", Action.NONE},
            {"named gone", Action.SERVE_ALONE},
            {"named state gone", Action.SERVE},
            {"named state refused gone", Action.SERVE_ALONE},
            {"named state retired gone", Action.NONE},
            {"named state retired gone gone", Action.NONE},
            {"named state gone retired", Action.NONE},
            {"named nostate state", Action.NONE},
            {"alone state", Action.NONE},
            {"alone retired", Action.NONE},
            {"alone gone", Action.NONE},
            {"named ask:b", Action.REFUSE},
            {"named state ask:b", Action.REFUSE},
            {"named state retired ask:b", Action.TELL},
            {"alone ask:b", Action.TELL},
            {"alone ask:b ask:b", Action.TELL},
            {"alone ask:b ask:c", Action.TELL},
            {"alone take:b:0", Action.REFUSE},
            {"alone ask:b take:b:0", Action.RETIRE},
            {"alone ask:b take:c:0", Action.REFUSE},
            {"alone ask:b take:b:1", Action.REFUSE},
            {"alone ask:b word take:b:0", Action.REFUSE},
            {"alone ask:b word take:b:1", Action.RETIRE},
            {"alone ask:b word ask:b take:b:0", Action.RETIRE},
            {"alone word ask:b take:b:0", Action.RETIRE},
            {"alone ask:b ask:c take:b:0", Action.REFUSE},
            {"alone ask:b take:b:0 take:b:0", Action.REFUSE},
            {"alone ask:b take:b:0 ask:c", Action.REFUSE},
            {"alone heirgone:b", Action.NONE},
            {"alone ask:b heirgone:b", Action.NONE},
            {"alone ask:b heirgone:b take:b:0", Action.REFUSE},
            {"alone ask:b take:b:0 heirgone:c", Action.NONE},
            {"alone ask:b take:b:0 heirgone:b", Action.TAKE_BACK},
            {"alone ask:b take:b:0 heirgone:b ask:c", Action.TELL},
        };
    }

    private static Action input(Succession s, String input) {
        String[] part = input.split(":");
        return switch (part[0]) {
            case "alone" -> {
                s.begin();
                yield s.stateFailed();
            }
            case "named" -> s.begin();
            case "state" -> s.stateCame();
            case "nostate" -> s.stateFailed();
            case "retired" -> s.retired();
            case "refused" -> s.refused();
            case "gone" -> s.beforeGone();
            case "ask" -> s.asked(part[1]);
            case "take" -> s.asksToTake(part[1], Long.parseLong(part[2]));
            case "heirgone" -> s.successorGone(part[1]);
            case "word" -> {
                s.commandToldAfter();
                yield Action.NONE;
            }
            default -> throw new IllegalArgumentException(input);
        };
    }

    @Test(dataProvider = "table")
    public void eachInputDoesInEachStateWhatTheRulesSay(String inputs, Action last) {
        Succession s = new Succession();
        Action act = Action.NONE;
        for (String input : inputs.split(" ")) {
            act = input(s, input);
        }
        assertEquals(act, last);
    }

    // ---- Two processes and a link that delays, refuses and breaks, against an independent check
    // ----

    /** One process as the check sees it: what it was told to do, not what it thinks. */
    private static final class Process {
        final String name;
        final Succession s = new Succession();
        final List<Integer> bans = new ArrayList<>();
        final List<Integer> early = new ArrayList<>();
        boolean listens;
        boolean dead;
        long heard;
        int asks;

        Process(String name) {
            this.name = name;
        }
    }

    /** Words go on a line of their own: order holds on a line only. */
    private record Sent(Process to, boolean word, Runnable what) {}

    /**
     * Plays one random run; returns what the check found, or null. With a guard out (words that are
     * not counted) it is to find something.
     */
    private static String play(long seed, boolean countsWords) {
        SplittableRandom chance = new SplittableRandom(seed);
        Process old = new Process("a");
        Process successor = new Process("b");
        List<Sent> link = new ArrayList<>();
        List<Integer> said = new ArrayList<>();
        old.s.begin();
        old.s.stateFailed();
        old.listens = true;
        class Acts {
            void act(Process p, Action act) {
                switch (act) {
                    case ASK -> {
                        int ask = ++successor.asks;
                        successor.early.clear();
                        link.add(
                                new Sent(
                                        old,
                                        false,
                                        () -> {
                                            if (old.s.asked("b") == Action.TELL) {
                                                old.asks = ask;
                                                List<Integer> state = List.copyOf(old.bans);
                                                link.add(
                                                        new Sent(
                                                                successor,
                                                                false,
                                                                () -> {
                                                                    successor.bans.clear();
                                                                    successor.bans.addAll(state);
                                                                    successor.heard = 0;
                                                                    Action then =
                                                                            successor.s.stateCame();
                                                                    List<Integer> early =
                                                                            List.copyOf(
                                                                                    successor
                                                                                            .early);
                                                                    successor.early.clear();
                                                                    early.forEach(
                                                                            b ->
                                                                                    hear(
                                                                                            successor,
                                                                                            b,
                                                                                            successor
                                                                                                    .asks));
                                                                    act(successor, then);
                                                                }));
                                            } else {
                                                link.add(
                                                        new Sent(
                                                                successor,
                                                                false,
                                                                () ->
                                                                        act(
                                                                                successor,
                                                                                successor.s
                                                                                        .stateFailed())));
                                            }
                                        }));
                    }
                    case TAKE -> {
                        long heard = successor.heard;
                        link.add(
                                new Sent(
                                        old,
                                        false,
                                        () -> {
                                            Action then =
                                                    old.s.asksToTake(
                                                            "b", countsWords ? heard : told(old));
                                            if (then == Action.RETIRE) {
                                                old.listens = false;
                                                link.add(
                                                        new Sent(
                                                                successor,
                                                                false,
                                                                () ->
                                                                        act(
                                                                                successor,
                                                                                successor.s
                                                                                        .retired())));
                                            } else {
                                                link.add(
                                                        new Sent(
                                                                successor,
                                                                false,
                                                                () ->
                                                                        act(
                                                                                successor,
                                                                                successor.s
                                                                                        .refused())));
                                            }
                                        }));
                    }
                    case SERVE, SERVE_ALONE, TAKE_BACK -> p.listens = true;
                    default -> {}
                }
            }
        }
        Acts acts = new Acts();
        int bans = 0;
        boolean begun = false;
        for (int step = 0; step < 60; step++) {
            switch (chance.nextInt(8)) {
                case 0 -> {
                    if (!begun) {
                        begun = true;
                        acts.act(successor, successor.s.begin());
                    }
                }
                case 1 -> {
                    // An operator's word at the process that serves: at the other too, before the
                    // yes.
                    Process at = old.listens && !old.dead ? old : null;
                    if (at != null) {
                        int ban = ++bans;
                        at.bans.add(ban);
                        if (at.s.commandToldAfter()) {
                            int ask = old.asks;
                            link.add(new Sent(successor, true, () -> hear(successor, ban, ask)));
                        }
                        said.add(ban);
                    }
                }
                case 2 -> {
                    if (begun && chance.nextInt(6) == 0 && !successor.dead) {
                        successor.dead = true;
                        successor.listens = false;
                        link.removeIf(m -> m.to() == successor);
                        if (!old.dead) {
                            acts.act(old, old.s.successorGone("b"));
                        }
                    }
                }
                default -> {
                    if (!link.isEmpty()) {
                        // Calls on one line keep their order; the lines don't.
                        Sent one = link.get(chance.nextInt(link.size()));
                        Process to = one.to();
                        Sent next =
                                link.stream()
                                        .filter(m -> m.to() == to && m.word() == one.word())
                                        .findFirst()
                                        .orElseThrow();
                        link.remove(next);
                        if (!to.dead) {
                            next.what().run();
                        }
                    }
                }
            }
            if (successor.listens && old.listens) {
                return seed + ": both take clients";
            }
            if (successor.listens && !successor.bans.containsAll(said)) {
                return seed + ": the successor serves without a ban that was said";
            }
        }
        while (!link.isEmpty()) {
            Sent next = link.remove(0);
            if (!next.to().dead) {
                next.what().run();
            }
        }
        if (!successor.listens && !old.listens) {
            return seed + ": nobody takes clients";
        }
        return successor.listens && !successor.bans.containsAll(said)
                ? seed + ": a ban was lost"
                : null;
    }

    /** A word that comes before the state waits for it. */
    private static void hear(Process successor, int ban, int ask) {
        if (!successor.s.isServing() && ask != successor.asks) {
            return;
        }
        if (successor.s.before() == Succession.Before.ASKED) {
            successor.early.add(ban);
        } else {
            successor.bans.add(ban);
            successor.heard++;
        }
    }

    /**
     * What the old process has counted itself, as if it asked nobody what the successor has heard.
     */
    private static long told(Process old) {
        for (long n = 0; n < 100; n++) {
            if (old.s.counted(n)) {
                return n;
            }
        }
        return -1;
    }

    @Test
    public void inNoOrderOfEventsDoBothOrNeitherServeOrIsABanLost() {
        for (long seed = 0; seed < 20_000; seed++) {
            assertEquals(play(seed, true), null);
        }
    }

    /** The check above can fail: where words on their way are not counted, bans get lost. */
    @Test
    public void withoutTheCountOfWordsTheCheckFindsALostBan() {
        Predicate<String> found = f -> f != null && f.contains("ban");
        int finds = 0;
        for (long seed = 0; seed < 20_000; seed++) {
            finds += found.test(play(seed, false)) ? 1 : 0;
        }
        assertTrue(finds > 0);
    }
}
