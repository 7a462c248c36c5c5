package gingerspool.dataplane;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A simulated client that uses one connection at a time, for one request at a time. It may abandon
 * a request, and checks that what arrives is one whole response to it. Times are in milliseconds.
 */
final class ModelClient {
    /** The longest pause between two requests. */
    static final double MAX_PAUSE_MS = 60;

    /** What a client needs of the simulation. */
    interface Owner {
        /** Takes over the far end of a new connection; called as a task of the scheduler's loop. */
        void accept(ModelNetwork.Channel connection);

        /** Whether no more requests are to be sent. */
        boolean isSettling();

        /** A number that no other request has. */
        int nextRequestNumber();

        /** A complete response has arrived. */
        void onResponse(ModelRecord.ClientRequest request, Message response);
    }

    private final ModelNetwork network;
    private final ModelRecord record;
    private final Owner owner;
    private ModelNetwork.Channel channel;
    private Message response;

    /** The request that waits for its response; null if there is none. */
    private ModelRecord.ClientRequest pending;

    private byte[] unparsed = new byte[0];

    ModelClient(ModelNetwork network, ModelRecord record, Owner owner) {
        this.network = network;
        this.record = record;
        this.owner = owner;
    }

    private void sendNextRequest() {
        if (owner.isSettling()) {
            return;
        }
        if (channel == null) {
            channel = network.channel();
            channel.setRemote(new ClientConnection(channel));
            network.execute(() -> owner.accept(channel));
        }
        sendRequest();
    }

    /** Sends the next request after a random delay of at most `maxDelay` ms. */
    void scheduleNextRequest(double maxDelay) {
        network.runAt(
                network.now() + maxDelay * network.random.nextDouble(), this::sendNextRequest);
    }

    private void sendRequest() {
        boolean safe = network.random.nextBoolean();
        int attempts = 1 + network.random.nextInt(3);
        int number = owner.nextRequestNumber();
        String id = "r" + number;
        double remaining = 100 + network.random.nextInt(1500);
        byte[] body = new byte[network.random.nextBoolean() ? 0 : network.random.nextInt(9000)];
        Arrays.fill(body, (byte) ('a' + (number + 1) % 26));
        String target = "/" + (safe ? "safe" : "unsafe") + attempts + "/" + id;
        pending =
                record.add(
                        new ModelRecord.ClientRequest(
                                id,
                                safe,
                                attempts,
                                network.now(),
                                network.now()
                                        + Math.min(remaining, RouteConfigurations.MAX_TIMEOUT_MS),
                                target,
                                body));
        response = Message.answer(null, 1 << 20);
        channel.send(
                Inbound.joined(
                        (body.length > 0 ? "POST " : "GET ")
                                + target
                                + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: "
                                + id
                                + "\r\nRemaining-Milliseconds: "
                                + Math.round(remaining)
                                + "\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n",
                        body));
        if (network.random.nextInt(8) == 0) {
            ModelRecord.ClientRequest request = pending;
            network.runAt(network.now() + network.random.nextInt(400), () -> abandon(request));
        }
    }

    /** Closes the connection if this request still waits for its response. */
    private void abandon(ModelRecord.ClientRequest request) {
        if (pending != request || channel == null) {
            return;
        }
        pending.isAbandoned = true;
        pending.abandonedAt = network.now();
        if (network.random.nextBoolean()) {
            channel.closeOutput();
        } else {
            channel.reset();
        }
        leaveConnection();
    }

    /** Continues on a new connection after a pause. */
    private void leaveConnection() {
        channel = null;
        pending = null;
        unparsed = new byte[0];
        scheduleNextRequest(MAX_PAUSE_MS);
    }

    /** The client's end of one connection; discards what arrives after the client left it. */
    private final class ClientConnection implements ModelNetwork.Remote {
        private final ModelNetwork.Channel ownChannel;

        ClientConnection(ModelNetwork.Channel connection) {
            this.ownChannel = connection;
        }

        @Override
        public void received(byte[] bytes) {
            if (channel == ownChannel) {
                ModelClient.this.received(bytes);
            }
        }

        @Override
        public void closed() {
            if (channel == ownChannel && pending == null) {
                channel = null;
            }
        }
    }

    private void received(byte[] bytes) {
        network.check(pending != null, "bytes received by a client without a pending request");
        if (pending == null) {
            return;
        }
        byte[] bytesSoFar =
                Inbound.joined(new String(unparsed, StandardCharsets.ISO_8859_1), bytes);
        try {
            int consumed = response.take(bytesSoFar, 0, bytesSoFar.length);
            unparsed = Arrays.copyOfRange(bytesSoFar, consumed, bytesSoFar.length);
        } catch (BadMessage e) {
            network.check(false, "MISMATCH: malformed response: " + e.getMessage());
            return;
        }
        if (response.done()) {
            network.check(unparsed.length == 0, "trailing bytes after a response");
            ModelRecord.ClientRequest request = pending;
            boolean keepsAlive = response.keepsAlive();
            pending = null;
            owner.onResponse(request, response);
            record.onResponse(request, response);
            if (!keepsAlive || network.random.nextInt(4) == 0) {
                channel.closeOutput();
                leaveConnection();
            } else {
                scheduleNextRequest(MAX_PAUSE_MS);
            }
        }
    }
}
