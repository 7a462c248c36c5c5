package gingerspool.dataplane;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;

import gingerspool.codec.KryoCodec;
import gingerspool.codec.MessageTypes;
import gingerspool.codec.Messages;
import gingerspool.settings.NodeSettings;
import gingerspool.wire.SingleThreadEventLoop;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** A scheduler's links to members of the core that say different things. */
public class DeposedLeaderTest {
    private static final int PATIENCE_MS = 10_000;
    private static final String OLD = "127.0.11.1";
    private static final String FOLLOWER = "127.0.11.2";
    private static final String NEXT = "127.0.11.3";

    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);

    private static ServerSocket listen(String ip, int port) throws IOException {
        ServerSocket made = new ServerSocket(port, 10, InetAddress.getByName(ip));
        made.setSoTimeout(PATIENCE_MS);
        return made;
    }

    private void send(Socket to, Object message) throws IOException {
        byte[] bytes = codec.write(message);
        DataOutputStream out = new DataOutputStream(to.getOutputStream());
        out.writeInt(bytes.length);
        out.write(bytes);
        out.flush();
    }

    private void await(Socket from, Class<?> type) throws Exception {
        from.setSoTimeout(PATIENCE_MS);
        DataInputStream in = new DataInputStream(from.getInputStream());
        Object message;
        do {
            byte[] bytes = new byte[in.readInt()];
            in.readFully(bytes);
            message = codec.read(bytes);
        } while (!type.isInstance(message));
    }

    private static NodeSettings settings(int port) throws Exception {
        Path file = Files.createTempFile("settings", ".toml");
        Files.writeString(
                file,
                """
                NodeName = "front-1"
                IpAddress = "127.0.11.9"
                Zone = "a"
                InternalPortRange = [%d,%d]
                SeedNodes = ["%s:1","%s:1"]
                HeartbeatIntervalMs = 2000
                [Zones]
                a = "r"
                [ListenAddresses]
                FrontAddress = "127.0.11.9:1"
                """
                        .formatted(port, port, OLD, FOLLOWER));
        return NodeSettings.read(file);
    }

    private static boolean isLed(SingleThreadEventLoop loop, ControlLinks links) throws Exception {
        CompletableFuture<Boolean> led = new CompletableFuture<>();
        loop.submit(() -> led.complete(links.hasLeader()));
        return led.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * A follower tells of a new leader, which can't be reached; the old one then says that it leads
     * no more, in its old term: the scheduler waits for it no longer.
     */
    @Test
    public void anOldLeaderThatStepsDownIsBelievedThoughANewTermWasHeardOf() throws Exception {
        SingleThreadEventLoop loop = new SingleThreadEventLoop();
        try (ServerSocket old = listen(OLD, 0);
                ServerSocket follower = listen(FOLLOWER, old.getLocalPort());
                ServerSocket next = listen(NEXT, old.getLocalPort())) {
            CompletableFuture<Void> registered = new CompletableFuture<>();
            CompletableFuture<Void> told = new CompletableFuture<>();
            ControlLinks links =
                    new ControlLinks(
                            loop,
                            settings(old.getLocalPort()),
                            () -> new Messages.Register("front-1", "a", 0, Map.of()),
                            message -> {
                                if (message instanceof Messages.Registered) {
                                    registered.complete(null);
                                } else {
                                    told.complete(null);
                                }
                            });
            loop.submit(links::start);
            Socket toOld = old.accept();
            Socket toFollower = follower.accept();
            List<String> members = List.of(OLD, FOLLOWER);
            send(toOld, new Messages.LeaderAnnouncement(1, OLD, members));
            await(toOld, Messages.Register.class);
            send(toOld, new Messages.Registered(1));
            registered.get(PATIENCE_MS, TimeUnit.MILLISECONDS);
            send(
                    toFollower,
                    new Messages.LeaderAnnouncement(2, NEXT, List.of(OLD, FOLLOWER, NEXT)));
            assertNotNull(next.accept(), "it heard of the new leader");
            send(toOld, new Messages.LeaderAnnouncement(1, "", members));
            // What comes after the announcement is passed on only by one that still believes it.
            send(toOld, new Messages.SchedulerCount(1));
            send(toOld, new Messages.LeaderAnnouncement(1, "", members));
            awaitUnled(loop, links);
            assertFalse(told.isDone(), "a message of one that stepped down was taken");
        } finally {
            loop.stop();
        }
    }

    private static void awaitUnled(SingleThreadEventLoop loop, ControlLinks links)
            throws Exception {
        CompletableFuture<Void> unled = new CompletableFuture<>();
        loop.submit(() -> check(loop, links, unled));
        unled.get(PATIENCE_MS / 5, TimeUnit.MILLISECONDS);
        assertFalse(isLed(loop, links));
    }

    private static void check(
            SingleThreadEventLoop loop, ControlLinks links, CompletableFuture<Void> unled) {
        if (!links.hasLeader()) {
            unled.complete(null);
        } else {
            loop.schedule(10, () -> check(loop, links, unled));
        }
    }
}
