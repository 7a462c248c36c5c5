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

/** A scheduler's links to control nodes that disagree about the leader, over real sockets. */
public class DeposedLeaderTest {
    private static final int TIMEOUT_MS = 10_000;
    private static final String OLD_LEADER = "127.0.11.1";
    private static final String FOLLOWER = "127.0.11.2";
    private static final String NEW_LEADER = "127.0.11.3";

    private final KryoCodec codec = new KryoCodec(MessageTypes.ALL);

    private static ServerSocket listen(String ip, int port) throws IOException {
        ServerSocket socket = new ServerSocket(port, 10, InetAddress.getByName(ip));
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private void send(Socket socket, Object message) throws IOException {
        byte[] bytes = codec.write(message);
        DataOutputStream out = new DataOutputStream(socket.getOutputStream());
        out.writeInt(bytes.length);
        out.write(bytes);
        out.flush();
    }

    private void await(Socket socket, Class<?> type) throws Exception {
        socket.setSoTimeout(TIMEOUT_MS);
        DataInputStream in = new DataInputStream(socket.getInputStream());
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
                        .formatted(port, port, OLD_LEADER, FOLLOWER));
        return NodeSettings.read(file);
    }

    private static boolean hasLeader(SingleThreadEventLoop loop, ControlLinks links)
            throws Exception {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        loop.submit(() -> result.complete(links.hasLeader()));
        return result.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * A follower announces a new leader, which does not respond. The old leader then announces,
     * still in its old term, that it no longer leads. The scheduler must no longer regard it as its
     * leader.
     */
    @Test
    public void anOldLeadersResignationIsAcceptedAfterANewTermWasAnnounced() throws Exception {
        SingleThreadEventLoop loop = new SingleThreadEventLoop();
        try (ServerSocket oldLeader = listen(OLD_LEADER, 0);
                ServerSocket follower = listen(FOLLOWER, oldLeader.getLocalPort());
                ServerSocket newLeader = listen(NEW_LEADER, oldLeader.getLocalPort())) {
            CompletableFuture<Void> registered = new CompletableFuture<>();
            CompletableFuture<Void> otherMessage = new CompletableFuture<>();
            ControlLinks links =
                    new ControlLinks(
                            loop,
                            settings(oldLeader.getLocalPort()),
                            () -> new Messages.Register("front-1", "a", 0, Map.of()),
                            message -> {
                                if (message instanceof Messages.Registered) {
                                    registered.complete(null);
                                } else {
                                    otherMessage.complete(null);
                                }
                            });
            loop.submit(links::start);
            Socket oldLeaderLink = oldLeader.accept();
            Socket followerLink = follower.accept();
            List<String> members = List.of(OLD_LEADER, FOLLOWER);
            send(oldLeaderLink, new Messages.LeaderAnnouncement(1, OLD_LEADER, members));
            await(oldLeaderLink, Messages.Register.class);
            send(oldLeaderLink, new Messages.Registered(1));
            registered.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            send(
                    followerLink,
                    new Messages.LeaderAnnouncement(
                            2, NEW_LEADER, List.of(OLD_LEADER, FOLLOWER, NEW_LEADER)));
            assertNotNull(newLeader.accept(), "no connection to the announced leader");
            send(oldLeaderLink, new Messages.LeaderAnnouncement(1, "", members));
            // This message is passed on only if the scheduler still follows the old leader.
            send(oldLeaderLink, new Messages.SchedulerCount(1));
            send(oldLeaderLink, new Messages.LeaderAnnouncement(1, "", members));
            awaitNoLeader(loop, links);
            assertFalse(
                    otherMessage.isDone(),
                    "a message of a leader that had stepped down was passed on");
        } finally {
            loop.stop();
        }
    }

    private static void awaitNoLeader(SingleThreadEventLoop loop, ControlLinks links)
            throws Exception {
        CompletableFuture<Void> noLeader = new CompletableFuture<>();
        loop.submit(() -> pollLeader(loop, links, noLeader));
        noLeader.get(TIMEOUT_MS / 5, TimeUnit.MILLISECONDS);
        assertFalse(hasLeader(loop, links));
    }

    private static void pollLeader(
            SingleThreadEventLoop loop, ControlLinks links, CompletableFuture<Void> noLeader) {
        if (!links.hasLeader()) {
            noLeader.complete(null);
        } else {
            loop.schedule(10, () -> pollLeader(loop, links, noLeader));
        }
    }
}
