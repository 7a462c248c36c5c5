package gingerspool.dataplane;

import gingerspool.wire.BadMessage;
import gingerspool.wire.Inbound;
import gingerspool.wire.Message;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * A worker that says anything at any byte. What it runs goes into the record at the moment when it
 * begins.
 */
final class ModelWorker implements ModelNetwork.Acceptor {
    /** What a worker does with one request. */
    enum Behaviour {
        WELL,
        CHUNKED,
        CLOSES_AFTER,
        FULL,
        FULL_429,
        FAILS_500,
        FAILS_504,
        RAN_503,
        RAN_429,
        RAN_408,
        OTHERS_ANSWER_FIRST,
        OTHERS_REFUSAL_FIRST,
        OTHERS_ANSWER_TO_THE_END,
        ANSWER_WITHOUT_ID,
        REFUSAL_WITHOUT_ID,
        TWICE,
        TWICE_LATER,
        BYTES_BEHIND,
        GARBAGE,
        CUT,
        CUT_WITHOUT_LENGTH,
        WHOLE_WITHOUT_LENGTH,
        ENCODED,
        WITHOUT_STAMP,
        EARLY_REFUSAL,
        EARLY_RESET,
        RESET_THEN_RUN,
        RESET_AFTER_RUN,
        CLOSE_AFTER_RUN,
        SILENT,
        SLOW
    }

    private final ModelNetwork network;
    private final ModelRecord record;
    final String id;
    final String function;
    private final double trouble;
    private boolean dead;

    /** The part of requests that end in another way than well is the trouble. */
    ModelWorker(
            ModelNetwork network, ModelRecord record, String id, String function, double trouble) {
        this.network = network;
        this.record = record;
        this.id = id;
        this.function = function;
        this.trouble = trouble;
    }

    /** It has crashed: what runs is lost, and connections say nothing more. */
    void die() {
        dead = true;
    }

    @Override
    public ModelNetwork.Remote accept(ModelNetwork.Channel channel) {
        return new Conversation(channel);
    }

    /** One connection. */
    private final class Conversation implements ModelNetwork.Remote {
        private final ModelNetwork.Channel channel;
        private final ByteArrayOutputStream held = new ByteArrayOutputStream();
        private boolean closed;
        private Message request = Message.request(16_384, 1 << 20);
        private Behaviour behaviour;
        private ModelRecord.Arrival arrival;

        Conversation(ModelNetwork.Channel channel) {
            this.channel = channel;
            channel.slowness = network.chance.nextInt(5) == 0 ? 30 : 1;
        }

        @Override
        public void received(byte[] bytes) {
            if (closed || dead) {
                return;
            }
            held.writeBytes(bytes);
            byte[] all = held.toByteArray();
            held.reset();
            try {
                int taken = request.take(all, 0, all.length);
                held.write(all, taken, all.length - taken);
            } catch (BadMessage e) {
                network.check(false, "UNASKED: a worker got what is no request: " + e.getMessage());
            }
            if (request.headRead() && behaviour == null) {
                begin();
            }
            if (request.done() && !closed) {
                Message asked = request;
                Behaviour as = behaviour;
                ModelRecord.Arrival came = arrival;
                request = Message.request(16_384, 1 << 20);
                behaviour = null;
                network.at(network.now(), () -> whole(asked, as, came));
            }
        }

        @Override
        public void closed() {
            closed = true;
        }

        private void begin() {
            behaviour = drawn();
            arrival = record.arrived(request.field("request-id"), id);
            String expected = request.field("expected-instance");
            if (expected != null && !expected.equals(id)) {
                // It does not run it, whatever else it does; at times it says so.
                behaviour = null;
                arrival.refused = true;
                channel.send(refusal(request, "421", ""));
                channel.end();
                closed = true;
            } else if (behaviour == Behaviour.EARLY_RESET) {
                channel.reset();
                closed = true;
            } else if (behaviour == Behaviour.EARLY_REFUSAL) {
                arrival.refused = true;
                channel.sendEarly(refusal(request, "503", "Not-Executed: 1\r\n"));
            }
        }

        private Behaviour drawn() {
            Behaviour[] all = Behaviour.values();
            return network.chance.nextDouble() < trouble
                    ? all[network.chance.nextInt(all.length)]
                    : Behaviour.WELL;
        }

        private void whole(Message asked, Behaviour as, ModelRecord.Arrival came) {
            if (as == null || as == Behaviour.EARLY_REFUSAL || closed || dead) {
                return;
            }
            if (as == Behaviour.FULL || as == Behaviour.FULL_429) {
                came.refused = true;
                channel.send(
                        refusal(
                                asked,
                                as == Behaviour.FULL ? "503" : "429",
                                "Not-Executed: 1\r\n"));
                return;
            }
            if (as == Behaviour.RESET_THEN_RUN) {
                closed = true;
                channel.reset();
                network.at(network.now() + network.chance.nextInt(100), () -> run(asked));
                return;
            }
            run(asked);
            double span =
                    as == Behaviour.SLOW
                            ? 200 + network.chance.nextInt(600)
                            : network.chance.nextInt(40);
            network.at(network.now() + span, () -> answer(asked, as));
        }

        private void run(Message asked) {
            if (!dead) {
                record.ran(asked, function);
            }
        }

        private void answer(Message asked, Behaviour as) {
            if (closed || dead) {
                return;
            }
            String own = asked.field("request-id");
            record.stillRuns(own);
            switch (as) {
                case SILENT, EARLY_RESET -> {}
                case CHUNKED -> channel.send(success(own, Framing.CHUNKS, ""));
                case CLOSES_AFTER -> {
                    channel.send(success(own, Framing.LENGTH, "Connection: close\r\n"));
                    channel.end();
                    closed = true;
                }
                case FAILS_500 -> channel.send(failure(own, 500));
                case FAILS_504 -> channel.send(failure(own, 504));
                case RAN_503 -> channel.send(failure(own, 503));
                case RAN_429 -> channel.send(failure(own, 429));
                case RAN_408 -> channel.send(failure(own, 408));
                case OTHERS_ANSWER_FIRST -> {
                    channel.sendDoubtful(success(record.otherThan(own), Framing.LENGTH, ""));
                    channel.send(success(own, Framing.LENGTH, ""));
                }
                case OTHERS_REFUSAL_FIRST -> {
                    channel.sendDoubtful(
                            text(
                                    "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
                                            + "Request-Id: "
                                            + record.otherThan(own)
                                            + "\r\n\r\n"));
                    channel.send(success(own, Framing.LENGTH, ""));
                }
                case OTHERS_ANSWER_TO_THE_END -> {
                    channel.sendDoubtful(success(record.otherThan(own), Framing.NONE, ""));
                    channel.end();
                    closed = true;
                }
                case ANSWER_WITHOUT_ID -> channel.sendDoubtful(success(null, Framing.LENGTH, ""));
                case REFUSAL_WITHOUT_ID ->
                        channel.sendDoubtful(
                                text(
                                        "HTTP/1.1 "
                                                + (network.chance.nextBoolean() ? 503 : 421)
                                                + " Full\r\nNot-Executed: 1\r\n"
                                                + "Content-Length: 0\r\n\r\n"));
                case TWICE, TWICE_LATER -> {
                    byte[] answer = success(own, Framing.LENGTH, "");
                    channel.send(answer);
                    double pause = as == Behaviour.TWICE ? 0 : network.chance.nextInt(30);
                    network.at(network.now() + pause, () -> channel.sendDoubtful(answer));
                }
                case BYTES_BEHIND -> {
                    channel.send(success(own, Framing.LENGTH, ""));
                    channel.sendDoubtful(text("xyz"));
                }
                case GARBAGE -> {
                    byte[] bytes = new byte[1 + network.chance.nextInt(200)];
                    for (int i = 0; i < bytes.length; i++) {
                        bytes[i] = (byte) network.chance.nextInt(256);
                    }
                    channel.sendDoubtful(bytes);
                    channel.sendDoubtful(text("\r\n\r\n"));
                }
                case CUT, CUT_WITHOUT_LENGTH -> {
                    Framing framing =
                            as == Behaviour.CUT_WITHOUT_LENGTH
                                    ? Framing.NONE
                                    : network.chance.nextBoolean()
                                            ? Framing.LENGTH
                                            : Framing.CHUNKS;
                    byte[] answer = success(own, framing, "");
                    int kept = network.chance.nextInt(answer.length);
                    channel.send(java.util.Arrays.copyOf(answer, kept));
                    if (network.chance.nextBoolean()) {
                        channel.end();
                    } else {
                        channel.reset();
                    }
                    closed = true;
                }
                case WHOLE_WITHOUT_LENGTH -> {
                    channel.send(success(own, Framing.NONE, ""));
                    channel.end();
                    closed = true;
                }
                case ENCODED ->
                        channel.sendDoubtful(
                                success(own, Framing.LENGTH, "Content-Encoding: gzip\r\n"));
                case WITHOUT_STAMP ->
                        channel.sendDoubtful(
                                text(
                                        "HTTP/1.1 200 OK\r\nRequest-Id: "
                                                + own
                                                + "\r\nContent-Length: 2\r\n\r\nhm"));
                case RESET_AFTER_RUN -> {
                    channel.reset();
                    closed = true;
                }
                case CLOSE_AFTER_RUN -> {
                    channel.end();
                    closed = true;
                }
                default -> channel.send(success(own, Framing.LENGTH, ""));
            }
        }
    }

    private enum Framing {
        LENGTH,
        CHUNKS,
        NONE
    }

    private static byte[] text(String all) {
        return all.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] refusal(Message asked, String status, String fields) {
        return text(
                "HTTP/1.1 "
                        + status
                        + " No\r\nRequest-Id: "
                        + asked.field("request-id")
                        + "\r\n"
                        + fields
                        + "Content-Length: 0\r\n\r\n");
    }

    private byte[] failure(String of, int status) {
        byte[] body = text("failed " + of);
        return Inbound.joined(
                "HTTP/1.1 "
                        + status
                        + " No\r\nRequest-Id: "
                        + of
                        + "\r\nServer-Stamp: "
                        + record.stamp(of, status, body)
                        + "\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n",
                body);
    }

    /** An answer of 200, under this id or under none. */
    private byte[] success(String of, Framing framing, String fields) {
        StringBuilder body = new StringBuilder("done ").append(of);
        int length = network.chance.nextInt(3000);
        while (body.length() < length) {
            body.append('.');
        }
        byte[] bytes = text(body.toString());
        String head =
                "HTTP/1.1 200 OK\r\n"
                        + (of == null ? "" : "Request-Id: " + of + "\r\n")
                        + "Server-Stamp: "
                        + record.stamp(of == null ? "" : of, 200, bytes)
                        + "\r\n"
                        + fields;
        return switch (framing) {
            case LENGTH ->
                    Inbound.joined(head + "Content-Length: " + bytes.length + "\r\n\r\n", bytes);
            case CHUNKS ->
                    Inbound.joined(
                            head
                                    + "Transfer-Encoding: chunked\r\n\r\n"
                                    + Integer.toHexString(bytes.length)
                                    + "\r\n"
                                    + body
                                    + "\r\n0\r\n\r\n",
                            new byte[0]);
            case NONE -> Inbound.joined(head + "\r\n", bytes);
        };
    }
}
