package gingerspool.controlplane;

import gingerspool.store.ConnectionPool;
import gingerspool.wire.Address;
import gingerspool.wire.BadMessage;
import gingerspool.wire.EventLoop;
import gingerspool.wire.Inbound;
import gingerspool.wire.Json;
import gingerspool.wire.JsonTree;
import gingerspool.wire.Message;
import gingerspool.wire.Outbound;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Calls of the platform's interface: lists, starts and stops. Every call has one end; silence and
 * answers that can't be read are ends as well.
 */
final class PlatformClient implements Platform {
    private static final int MAX_CONNECTIONS = 32;
    private static final double IDLE_TIMEOUT_MS = 5000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final double timeout;
    private final ConnectionPool pool;

    PlatformClient(EventLoop loop, InetSocketAddress address, double timeout) {
        this.loop = loop;
        this.address = address;
        this.timeout = timeout;
        pool = new ConnectionPool(loop, timeout, IDLE_TIMEOUT_MS, MAX_CONNECTIONS);
    }

    @Override
    public void instances(Consumer<List<Object>> then) {
        readPage("/instances", new ArrayList<>(), then);
    }

    private void readPage(String target, List<Object> all, Consumer<List<Object>> then) {
        get(
                target,
                answer -> {
                    if (answer.status() != 200
                            || !(JsonTree.at(answer.body(), "Instances")
                                    instanceof List<?> instances)) {
                        then.accept(null);
                        return;
                    }
                    all.addAll(instances);
                    String next = JsonTree.text("", answer.body(), "NextPageToken");
                    if (next.isEmpty()) {
                        then.accept(all);
                    } else {
                        readPage("/instances?PageToken=" + next, all, then);
                    }
                });
    }

    @Override
    public void hosts(Consumer<Response> then) {
        get("/v1/workers", then);
    }

    @Override
    public void start(
            String holder,
            long fence,
            String service,
            String host,
            String nonce,
            Consumer<Response> then) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("Service", service);
        body.put("Worker", host);
        body.put("Nonce", nonce);
        post("/v1/begin", holder, fence, body, then);
    }

    @Override
    public void stop(String holder, long fence, String instance, Consumer<Response> then) {
        post("/v1/stop", holder, fence, Map.of("Identifier", instance), then);
    }

    private void get(String target, Consumer<Response> then) {
        call(
                Inbound.joined(
                        "GET "
                                + target
                                + " HTTP/1.1\r\nHost: "
                                + Address.text(address)
                                + "\r\n\r\n",
                        new byte[0]),
                then);
    }

    private void post(
            String target, String holder, long fence, Object tree, Consumer<Response> then) {
        byte[] body = Json.write(tree).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        call(
                Inbound.joined(
                        "POST "
                                + target
                                + " HTTP/1.1\r\nHost: "
                                + Address.text(address)
                                + "\r\nDuty-Holder: "
                                + holder
                                + "\r\nFence-Number: "
                                + fence
                                + "\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n",
                        body),
                then);
    }

    private void call(byte[] request, Consumer<Response> then) {
        try {
            pool.take(0, address)
                    .ask(
                            request,
                            timeout,
                            new Outbound.Caller() {
                                @Override
                                public void answered(Message message) {
                                    then.accept(read(message));
                                }

                                @Override
                                public void broke(boolean allWritten) {
                                    then.accept(new Response(0, null));
                                }
                            });
        } catch (IOException e) {
            loop.execute(() -> then.accept(new Response(0, null)));
        }
    }

    private static Response read(Message message) {
        byte[] body = message.body();
        try {
            return new Response(
                    message.status(), body.length == 0 ? null : Json.read(body, 0, body.length));
        } catch (BadMessage e) {
            return new Response(message.status() == 200 ? 0 : message.status(), null);
        }
    }
}
