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
 * Calls the platform's API over HTTP. Every call ends with exactly one callback; a timeout, and a
 * response with status 200 whose body cannot be parsed, count as status 0. Created by {@link
 * ClusterMember} for each term that it leads; runs on the event loop. Times are in milliseconds.
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
    public void instances(Consumer<List<Object>> callback) {
        readPage("/instances", new ArrayList<>(), callback);
    }

    private void readPage(String target, List<Object> entries, Consumer<List<Object>> callback) {
        get(
                target,
                response -> {
                    if (response.status() != 200
                            || !(JsonTree.at(response.body(), "Instances")
                                    instanceof List<?> instances)) {
                        callback.accept(null);
                        return;
                    }
                    entries.addAll(instances);
                    String nextPage = JsonTree.text("", response.body(), "NextPageToken");
                    if (nextPage.isEmpty()) {
                        callback.accept(entries);
                    } else {
                        readPage("/instances?PageToken=" + nextPage, entries, callback);
                    }
                });
    }

    @Override
    public void hosts(Consumer<Response> callback) {
        get("/v1/workers", callback);
    }

    @Override
    public void start(
            String leaderName,
            long fencingToken,
            String service,
            String host,
            String nonce,
            Consumer<Response> callback) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("Service", service);
        body.put("Worker", host);
        body.put("Nonce", nonce);
        post("/v1/begin", leaderName, fencingToken, body, callback);
    }

    @Override
    public void stop(
            String leaderName, long fencingToken, String instance, Consumer<Response> callback) {
        post("/v1/stop", leaderName, fencingToken, Map.of("Identifier", instance), callback);
    }

    private void get(String target, Consumer<Response> callback) {
        call(
                Inbound.joined(
                        "GET "
                                + target
                                + " HTTP/1.1\r\nHost: "
                                + Address.text(address)
                                + "\r\n\r\n",
                        new byte[0]),
                callback);
    }

    private void post(
            String target,
            String leaderName,
            long fencingToken,
            Object tree,
            Consumer<Response> callback) {
        byte[] body = Json.write(tree).getBytes(java.nio.charset.StandardCharsets.UTF_8);
        call(
                Inbound.joined(
                        "POST "
                                + target
                                + " HTTP/1.1\r\nHost: "
                                + Address.text(address)
                                + "\r\nDuty-Holder: "
                                + leaderName
                                + "\r\nFence-Number: "
                                + fencingToken
                                + "\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n",
                        body),
                callback);
    }

    private void call(byte[] request, Consumer<Response> callback) {
        try {
            pool.acquire(0, address)
                    .ask(
                            request,
                            timeout,
                            new Outbound.Caller() {
                                @Override
                                public void answered(Message message) {
                                    callback.accept(read(message));
                                }

                                @Override
                                public void broke(boolean allWritten) {
                                    callback.accept(new Response(0, null));
                                }
                            });
        } catch (IOException e) {
            loop.execute(() -> callback.accept(new Response(0, null)));
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
