package gingerspool.load;

import gingerspool.scenario.Plan;
import gingerspool.scenario.ScenarioFile;
import gingerspool.wire.ClientEndpoint;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** What the load tool can drive, no part of CI: mvn -B -q test -Dtest=LoadMeasure. */
public class LoadMeasure {
    @Test
    public void againstADoorThatAnswersAtOnce() throws Exception {
        for (int rate : new int[] {1000, 1000, 2000, 5000, 10_000, 15_000, 20_000}) {
            Path folder = Files.createTempDirectory("load");
            Path file =
                    Files.writeString(
                            folder.resolve("s.toml"),
                            "length = \"5s\"\n[profile.p]\n[load]\n"
                                    + "rate_per_s = "
                                    + rate
                                    + "\n");
            Plan plan = Plan.make(ScenarioFile.read(file).scenario(), 1, folder);
            SingleThreadEventLoop ofDoor = new SingleThreadEventLoop();
            SingleThreadEventLoop ofLoad = new SingleThreadEventLoop();
            CompletableFuture<ClientEndpoint> opened = new CompletableFuture<>();
            ofDoor.submit(
                    () -> {
                        try {
                            ClientEndpoint door =
                                    new ClientEndpoint(
                                            ofDoor,
                                            new InetSocketAddress(
                                                    InetAddress.getLoopbackAddress(), 0),
                                            false,
                                            2000,
                                            LoadTest.desk(
                                                    (client, id, repeat) ->
                                                            ClientEndpoint.finished(client, "x")));
                            door.listen();
                            door.open();
                            opened.complete(door);
                        } catch (IOException e) {
                            opened.completeExceptionally(e);
                        }
                    });
            Path record = folder.resolve("clients.tsv");
            Load load =
                    new Load(
                            ofLoad,
                            plan,
                            List.of((InetSocketAddress) opened.get().address()),
                            record);
            CompletableFuture<Void> done = new CompletableFuture<>();
            long from = System.nanoTime();
            ofLoad.submit(() -> load.play(() -> done.complete(null)));
            done.get(60, TimeUnit.SECONDS);
            System.out.printf(
                    "rate %d/s: %d asked in %.2f s, sent late by %.2f ms (median) %.2f ms "
                            + "(99.9th), "
                            + "latency %.2f ms (median) %.2f ms (99.9th)%n",
                    rate,
                    load.asked(),
                    (System.nanoTime() - from) / 1e9,
                    load.lateness().getValueAtPercentile(50) / 1e3,
                    load.lateness().getValueAtPercentile(99.9) / 1e3,
                    load.latency().getValueAtPercentile(50) / 1e3,
                    load.latency().getValueAtPercentile(99.9) / 1e3);
            load.close();
            ofDoor.stop();
            ofLoad.stop();
            Files.delete(record);
            Files.delete(file);
            Files.delete(folder);
        }
    }
}
