package gingerspool.dataplane;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * A simulated instance of a function that may respond in any correct or faulty way. It records each
 * execution when the execution starts. Created by {@link DataPlaneSimulation}; times are in
 * milliseconds.
 */
final class ModelWorker implements ModelNetwork.Acceptor {
    /**
     * How a worker handles one request. RUN_THEN_ constants execute the request and respond with a
     * status that could be mistaken for a rejection; OTHER_ constants respond with the id of
     * another request. RESPONSE_TWICE sends the second response at once.
     */
    enum Behaviour {
        SUCCESS,
        SUCCESS_CHUNKED,
        SUCCESS_THEN_CLOSE,
        REJECTED_503,
        REJECTED_429,
        FAILED_500,
        FAILED_504,
        RUN_THEN_503,
        RUN_THEN_429,
        RUN_THEN_408,
        OTHER_RESPONSE_FIRST,
        OTHER_REJECTION_FIRST,
        OTHER_RESPONSE_UNTIL_CLOSE,
        RESPONSE_WITHOUT_ID,
        REJECTION_WITHOUT_ID,
        RESPONSE_TWICE,
        RESPONSE_TWICE_DELAYED,
        TRAILING_BYTES,
        GARBAGE,
        TRUNCATED,
        TRUNCATED_WITHOUT_LENGTH,
        COMPLETE_WITHOUT_LENGTH,
        ENCODED,
        WITHOUT_STAMP,
        /** Responds before the request body has arrived. */
        EARLY_REJECTION,

        /** Resets before the request body has arrived. */
        EARLY_RESET,

        /** Resets the connection and executes the request nevertheless. */
        RESET_THEN_RUN,

        RESET_AFTER_RUN,
        CLOSE_AFTER_RUN,
        NO_RESPONSE,
        SLOW
    }

    private final ModelNetwork network;
    private final ModelRecord record;
    final String id;
    final String function;
    private final double faultRate;
    private boolean isCrashed;

    /**
     * Creates a worker that handles the fraction `faultRate` of requests with a random behaviour.
     */
    ModelWorker(
            ModelNetwork network,
            ModelRecord record,
            String id,
            String function,
            double faultRate) {
        this.network = network;
        this.record = record;
        this.id = id;
        this.function = function;
        this.faultRate = faultRate;
    }

    /** Crashes the worker: running requests are lost, and its connections stay silent. */
    void crash() {
        isCrashed = true;
    }

    @Override
    public ModelNetwork.Remote accept(ModelNetwork.Channel channel) {
        return new Connection(channel);
    }

    /** The worker's end of one connection. */
    private final class Connection implements ModelNetwork.Remote {
        private final ModelNetwork.Channel channel;
        private final ByteArrayOutputStream unparsed = new ByteArrayOutputStream();
        private boolean isClosed;
        private Message currentRequest = Message.request(16_384, 1 << 20);
        private Behaviour currentBehaviour;
        private ModelRecord.Arrival currentArrival;

        Connection(ModelNetwork.Channel channel) {
            this.channel = channel;
            channel.maxWriteTime = network.random.nextInt(5) == 0 ? 30 : 1;
        }

        @Override
        public void received(byte[] bytes) {
            if (isClosed || isCrashed) {
                return;
            }
            unparsed.writeBytes(bytes);
            byte[] bytesSoFar = unparsed.toByteArray();
            unparsed.reset();
            try {
                int consumed = currentRequest.take(bytesSoFar, 0, bytesSoFar.length);
                unparsed.write(bytesSoFar, consumed, bytesSoFar.length - consumed);
            } catch (BadMessage e) {
                network.check(
                        false,
                        "UNREQUESTED: a worker received a malformed request: " + e.getMessage());
            }
            if (currentRequest.headRead() && currentBehaviour == null) {
                onHead();
            }
            if (currentRequest.done() && !isClosed) {
                Message request = currentRequest;
                Behaviour behaviour = currentBehaviour;
                ModelRecord.Arrival arrival = currentArrival;
                currentRequest = Message.request(16_384, 1 << 20);
                currentBehaviour = null;
                network.runAt(network.now(), () -> onRequest(request, behaviour, arrival));
            }
        }

        @Override
        public void closed() {
            isClosed = true;
        }

        /** Handles the head of a request, before its body has arrived. */
        private void onHead() {
            currentBehaviour = randomBehaviour();
            currentArrival = record.onArrival(currentRequest.field("request-id"), id);
            String expectedInstance = currentRequest.field("expected-instance");
            if (expectedInstance != null && !expectedInstance.equals(id)) {
                // Another instance was meant: rejects the request without executing it.
                currentBehaviour = null;
                currentArrival.isRejected = true;
                channel.send(rejection(currentRequest, "421", ""));
                channel.closeOutput();
                isClosed = true;
            } else if (currentBehaviour == Behaviour.EARLY_RESET) {
                channel.reset();
                isClosed = true;
            } else if (currentBehaviour == Behaviour.EARLY_REJECTION) {
                currentArrival.isRejected = true;
                channel.sendEarly(rejection(currentRequest, "503", "Not-Executed: 1\r\n"));
            }
        }

        private Behaviour randomBehaviour() {
            Behaviour[] values = Behaviour.values();
            return network.random.nextDouble() < faultRate
                    ? values[network.random.nextInt(values.length)]
                    : Behaviour.SUCCESS;
        }

        /** Handles a request whose body has arrived. */
        private void onRequest(Message request, Behaviour behaviour, ModelRecord.Arrival arrival) {
            if (behaviour == null
                    || behaviour == Behaviour.EARLY_REJECTION
                    || isClosed
                    || isCrashed) {
                return;
            }
            if (behaviour == Behaviour.REJECTED_503 || behaviour == Behaviour.REJECTED_429) {
                arrival.isRejected = true;
                channel.send(
                        rejection(
                                request,
                                behaviour == Behaviour.REJECTED_503 ? "503" : "429",
                                "Not-Executed: 1\r\n"));
                return;
            }
            if (behaviour == Behaviour.RESET_THEN_RUN) {
                isClosed = true;
                channel.reset();
                network.runAt(network.now() + network.random.nextInt(100), () -> run(request));
                return;
            }
            run(request);
            double serviceTime =
                    behaviour == Behaviour.SLOW
                            ? 200 + network.random.nextInt(600)
                            : network.random.nextInt(40);
            network.runAt(network.now() + serviceTime, () -> respond(request, behaviour));
        }

        private void run(Message request) {
            if (!isCrashed) {
                record.onExecution(request, function);
            }
        }

        private void respond(Message request, Behaviour behaviour) {
            if (isClosed || isCrashed) {
                return;
            }
            String requestId = request.field("request-id");
            record.onStillRunning(requestId);
            switch (behaviour) {
                case NO_RESPONSE, EARLY_RESET -> {}
                case SUCCESS_CHUNKED -> channel.send(success(requestId, Framing.CHUNKED, ""));
                case SUCCESS_THEN_CLOSE -> {
                    channel.send(
                            success(requestId, Framing.CONTENT_LENGTH, "Connection: close\r\n"));
                    channel.closeOutput();
                    isClosed = true;
                }
                case FAILED_500 -> channel.send(failure(requestId, 500));
                case FAILED_504 -> channel.send(failure(requestId, 504));
                case RUN_THEN_503 -> channel.send(failure(requestId, 503));
                case RUN_THEN_429 -> channel.send(failure(requestId, 429));
                case RUN_THEN_408 -> channel.send(failure(requestId, 408));
                case OTHER_RESPONSE_FIRST -> {
                    channel.sendPreventingReuse(
                            success(record.otherRequestId(requestId), Framing.CONTENT_LENGTH, ""));
                    channel.send(success(requestId, Framing.CONTENT_LENGTH, ""));
                }
                case OTHER_REJECTION_FIRST -> {
                    channel.sendPreventingReuse(
                            latin1(
                                    "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
                                            + "Request-Id: "
                                            + record.otherRequestId(requestId)
                                            + "\r\n\r\n"));
                    channel.send(success(requestId, Framing.CONTENT_LENGTH, ""));
                }
                case OTHER_RESPONSE_UNTIL_CLOSE -> {
                    channel.sendPreventingReuse(
                            success(record.otherRequestId(requestId), Framing.UNTIL_CLOSE, ""));
                    channel.closeOutput();
                    isClosed = true;
                }
                case RESPONSE_WITHOUT_ID ->
                        channel.sendPreventingReuse(success(null, Framing.CONTENT_LENGTH, ""));
                case REJECTION_WITHOUT_ID ->
                        channel.sendPreventingReuse(
                                latin1(
                                        "HTTP/1.1 "
                                                + (network.random.nextBoolean() ? 503 : 421)
                                                + " Full\r\nNot-Executed: 1\r\n"
                                                + "Content-Length: 0\r\n\r\n"));
                case RESPONSE_TWICE, RESPONSE_TWICE_DELAYED -> {
                    byte[] response = success(requestId, Framing.CONTENT_LENGTH, "");
                    channel.send(response);
                    double pause =
                            behaviour == Behaviour.RESPONSE_TWICE ? 0 : network.random.nextInt(30);
                    network.runAt(
                            network.now() + pause, () -> channel.sendPreventingReuse(response));
                }
                case TRAILING_BYTES -> {
                    channel.send(success(requestId, Framing.CONTENT_LENGTH, ""));
                    channel.sendPreventingReuse(latin1("xyz"));
                }
                case GARBAGE -> {
                    byte[] bytes = new byte[1 + network.random.nextInt(200)];
                    for (int i = 0; i < bytes.length; i++) {
                        bytes[i] = (byte) network.random.nextInt(256);
                    }
                    channel.sendPreventingReuse(bytes);
                    channel.sendPreventingReuse(latin1("\r\n\r\n"));
                }
                case TRUNCATED, TRUNCATED_WITHOUT_LENGTH -> {
                    Framing framing =
                            behaviour == Behaviour.TRUNCATED_WITHOUT_LENGTH
                                    ? Framing.UNTIL_CLOSE
                                    : network.random.nextBoolean()
                                            ? Framing.CONTENT_LENGTH
                                            : Framing.CHUNKED;
                    byte[] response = success(requestId, framing, "");
                    int keptLength = network.random.nextInt(response.length);
                    channel.send(java.util.Arrays.copyOf(response, keptLength));
                    if (network.random.nextBoolean()) {
                        channel.closeOutput();
                    } else {
                        channel.reset();
                    }
                    isClosed = true;
                }
                case COMPLETE_WITHOUT_LENGTH -> {
                    channel.send(success(requestId, Framing.UNTIL_CLOSE, ""));
                    channel.closeOutput();
                    isClosed = true;
                }
                case ENCODED ->
                        channel.sendPreventingReuse(
                                success(
                                        requestId,
                                        Framing.CONTENT_LENGTH,
                                        "Content-Encoding: gzip\r\n"));
                case WITHOUT_STAMP ->
                        channel.sendPreventingReuse(
                                latin1(
                                        "HTTP/1.1 200 OK\r\nRequest-Id: "
                                                + requestId
                                                + "\r\nContent-Length: 2\r\n\r\nhm"));
                case RESET_AFTER_RUN -> {
                    channel.reset();
                    isClosed = true;
                }
                case CLOSE_AFTER_RUN -> {
                    channel.closeOutput();
                    isClosed = true;
                }
                default -> channel.send(success(requestId, Framing.CONTENT_LENGTH, ""));
            }
        }
    }

    /** How the end of a response body is marked. */
    private enum Framing {
        CONTENT_LENGTH,
        CHUNKED,
        UNTIL_CLOSE
    }

    private static byte[] latin1(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] rejection(Message request, String status, String extraFields) {
        return latin1(
                "HTTP/1.1 "
                        + status
                        + " No\r\nRequest-Id: "
                        + request.field("request-id")
                        + "\r\n"
                        + extraFields
                        + "Content-Length: 0\r\n\r\n");
    }

    private byte[] failure(String requestId, int status) {
        byte[] body = latin1("failed " + requestId);
        return Inbound.joined(
                "HTTP/1.1 "
                        + status
                        + " No\r\nRequest-Id: "
                        + requestId
                        + "\r\nServer-Stamp: "
                        + record.newStamp(requestId, status, body)
                        + "\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n",
                body);
    }

    /** A response of status 200 with this request id, or without an id if null. */
    private byte[] success(String requestId, Framing framing, String extraFields) {
        StringBuilder body = new StringBuilder("done ").append(requestId);
        int length = network.random.nextInt(3000);
        while (body.length() < length) {
            body.append('.');
        }
        byte[] bytes = latin1(body.toString());
        String head =
                "HTTP/1.1 200 OK\r\n"
                        + (requestId == null ? "" : "Request-Id: " + requestId + "\r\n")
                        + "Server-Stamp: "
                        + record.newStamp(requestId == null ? "" : requestId, 200, bytes)
                        + "\r\n"
                        + extraFields;
        return switch (framing) {
            case CONTENT_LENGTH ->
                    Inbound.joined(head + "Content-Length: " + bytes.length + "\r\n\r\n", bytes);
            case CHUNKED ->
                    Inbound.joined(
                            head
                                    + "Transfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(bytes.length)
                                    + "\r\n"
                                    + body
                                    + "\r\n0\r\n\r\n",
                            new byte[0]);
            case UNTIL_CLOSE -> Inbound.joined(head + "\r\n", bytes);
        };
    }
}
