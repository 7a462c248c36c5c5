package gingerspool.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import gingerspool.peers.Folders;
import gingerspool.peers.RequestHandlerStub;
import gingerspool.scenario.Plan;
import gingerspool.scenario.ScenarioFile;
import gingerspool.wire.ClientEndpoint;
import gingerspool.wire.Inbound;
import gingerspool.wire.SingleThreadEventLoop;
import gingerspool.wire.TaskRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The load tool against a door that answers as each test says. */
public class LoadTest {
    private SingleThreadEventLoop loop;
    private Path folder;
    private Load load;

    @BeforeMethod
    public void begin() throws IOException {
        loop = new SingleThreadEventLoop();
        folder = Files.createTempDirectory("load");
    }

    @AfterMethod
    public void end() throws IOException {
        loop.stop();
        Folders.remove(folder);
    }

    /** Who answers a request that has come so many times before. */
    interface Clerk {
        void answer(Inbound client, String id, boolean repeat);
    }

    private List<String[]> play(String scenario, double slowedBy, Clerk clerk) throws Exception {
        Path file = Files.writeString(folder.resolve("s.toml"), scenario);
        ScenarioFile read = ScenarioFile.read(file);
        assertEquals(read.faults(), List.of());
        Plan plan = Plan.make(read.scenario(), 1, folder);
        CompletableFuture<Void> done = new CompletableFuture<>();
        Path record = folder.resolve("clients.tsv");
        loop.submit(
                () -> {
                    try {
                        ClientEndpoint door =
                                new ClientEndpoint(
                                        loop,
                                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                        false,
                                        1000,
                                        desk(clerk));
                        door.listen();
                        door.open();
                        load =
                                new Load(
                                        loop,
                                        plan,
                                        List.of((InetSocketAddress) door.address()),
                                        record);
                        load.slowedBy = slowedBy;
                        load.play(
                                () -> {
                                    try {
                                        load.close();
                                        done.complete(null);
                                    } catch (IOException e) {
                                        done.completeExceptionally(e);
                                    }
                                });
                    } catch (IOException e) {
                        done.completeExceptionally(e);
                    }
                });
        done.get(20, TimeUnit.SECONDS);
        List<String[]> tries = new ArrayList<>();
        for (String line : Files.readAllLines(record)) {
            if (line.startsWith("try\t")) {
                tries.add(line.split("\t", -1));
            }
        }
        return tries;
    }

    /**
     * Guards the judge: the record shows when the tool's own loop was late. Here one request keeps
     * it busy for 200 ms.
     */
    @Test
    public void theToolsOwnLatenessStandsInItsRecord() throws Exception {
        double[] busy = {Double.NaN, Double.NaN};
        play(
                KIND + "[load]\nrate_per_s = 100\n",
                0,
                (client, id, repeat) -> {
                    if (Double.isNaN(busy[0])) {
                        busy[0] = loop.now();
                        busy[1] = busy[0] + 200;
                        while (loop.now() < busy[1]) {
                            Thread.onSpinWait();
                        }
                    }
                    ClientEndpoint.finished(client, "x");
                });
        boolean told = false;
        for (String line : Files.readAllLines(folder.resolve("clients.tsv"))) {
            String[] f = line.split("\t", -1);
            told |=
                    line.startsWith("tool\tlate\t")
                            && f.length == 7
                            && Double.parseDouble(f[2]) < busy[1]
                            && Double.parseDouble(f[3]) >= busy[1];
        }
        assertTrue(told, "no line covers the end of " + busy[0] + " to " + busy[1]);
    }

    static ClientEndpoint.RequestHandler desk(Clerk clerk) {
        return new RequestHandlerStub() {
            @Override
            public boolean knowsProfile(String name) {
                return name.equals("p");
            }

            @Override
            public void arrived(TaskRequest request) {
                clerk.answer(request.client(), request.id(), request.repeat());
            }
        };
    }

    private static final String KIND = "length = \"1s\"\n[profile.p]\nexpiry = \"900ms\"\n";

    /**
     * A tool that comes late itself must not hide that: latency counts from when the request was
     * due.
     */
    @Test
    public void latencyCountsFromTheDueTimeHoweverLateTheToolIs() throws Exception {
        List<String[]> tries =
                play(
                        KIND + "[load]\nrate_per_s = 100\n",
                        120,
                        (client, id, repeat) -> ClientEndpoint.finished(client, "x"));
        assertTrue(tries.size() > 60);
        assertTrue(load.lateness().getValueAtPercentile(50) > 30_000, "the tool was slowed");
        assertTrue(
                load.latency().getValueAtPercentile(50) >= load.lateness().getValueAtPercentile(50),
                load.latency().getValueAtPercentile(50)
                        + " under "
                        + load.lateness().getValueAtPercentile(50));
    }

    @Test
    public void aBouncedRequestComesAgainMarkedAndAfterThePauseAdvised() throws Exception {
        List<Boolean> repeats = new ArrayList<>();
        List<String[]> tries =
                play(
                        KIND + "[load]\nrate_per_s = 20\nretries = 1\n",
                        0,
                        (client, id, repeat) -> {
                            repeats.add(repeat);
                            if (repeat) {
                                ClientEndpoint.finished(client, "x");
                            } else {
                                ClientEndpoint.bounced(client, 200);
                            }
                        });
        assertEquals(repeats.stream().filter(r -> r).count(), (long) tries.size() / 2);
        for (String[] t : tries) {
            if (t[2].equals("1")) {
                String[] first =
                        tries.stream()
                                .filter(o -> o[1].equals(t[1]) && o[2].equals("0"))
                                .findFirst()
                                .orElseThrow();
                double pause = Double.parseDouble(t[8]) - Double.parseDouble(first[11]);
                assertTrue(pause >= 199 && !first[3].equals(t[3]), "came again after " + pause);
            }
        }
    }

    @Test
    public void whoIsNotAnsweredIsWrittenDownAsSuch() throws Exception {
        List<String[]> tries =
                play(KIND + "[load]\nrate_per_s = 20\n", 0, (client, id, repeat) -> {});
        assertTrue(tries.size() > 5);
        tries.forEach(t -> assertEquals(t[10], "none"));
    }

    @Test
    public void whoGoesAwayIsWrittenDownAsSuch() throws Exception {
        List<String[]> tries =
                play(
                        KIND + "[load]\nrate_per_s = 20\nleaves = 1.0\n",
                        0,
                        (client, id, repeat) -> {});
        tries.forEach(t -> assertEquals(t[10], "left"));
    }

    @Test
    public void aConnectionThatEndsIsWrittenDownAsSuch() throws Exception {
        List<String[]> tries =
                play(
                        KIND.replace("expiry", "effect = \"side-effecting\"\nexpiry")
                                + "[load]\nrate_per_s = 20\nretries = 3\n",
                        0,
                        (client, id, repeat) -> client.close());
        tries.forEach(t -> assertEquals(t[10], "broke"));
        assertTrue(
                tries.stream().allMatch(t -> t[2].equals("0")),
                "what may have run is not tried again");
    }

    /**
     * Guards the judge: a connection that ended in time is no missing answer, however late the
     * tool's loop comes to it. Here the loop stands still until the client would give up.
     */
    @Test
    public void aConnectionThatEndsInTimeIsWrittenDownAsSuchByALateLoop() throws Exception {
        double givesUpAfter = 1100;
        String[] first = {null};
        double[] ended = {Double.NaN, Double.NaN};
        List<String[]> tries =
                play(
                        "length = \"1s\"\n[profile.p]\neffect = \"side-effecting\"\n"
                                + "expiry = \"100ms\"\n[load]\nrate_per_s = 20\n",
                        0,
                        (client, id, repeat) -> {
                            client.close();
                            if (first[0] == null) {
                                first[0] = id;
                                ended[0] = loop.now();
                                ended[1] = ended[0] + givesUpAfter;
                                while (loop.now() < ended[1]) {
                                    Thread.onSpinWait();
                                }
                            }
                        });
        String[] told = tries.stream().filter(t -> t[3].equals(first[0])).findFirst().orElseThrow();
        assertEquals(told[10], "broke");
        double at = Double.parseDouble(told[11]);
        assertTrue(at < ended[1], "noted at " + at + ", the loop stood until " + ended[1]);
    }
}
