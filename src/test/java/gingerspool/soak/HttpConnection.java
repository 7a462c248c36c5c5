package gingerspool.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** One blocking HTTP/1.1 connection that is used until it ends. */
final class HttpConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1000;

    /** An answer, whole. */
    record Response(int status, Map<String, String> headers, String body) {
        boolean isKeepAlive() {
            return !"close".equalsIgnoreCase(headers.get("connection"));
        }
    }

    private final Socket socket = new Socket();

    /** Requests that were answered on it. */
    private int responseCount;

    HttpConnection(InetSocketAddress to, int answerWithinMs) throws IOException {
        socket.connect(to, CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(answerWithinMs);
        socket.setTcpNoDelay(true);
    }

    boolean isReused() {
        return responseCount > 0;
    }

    /** Sends the request and reads its answer; the connection is of no use after an exception. */
    Response send(String method, String target, Map<String, String> fields, String body)
            throws IOException {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + content.length + "\r\n\r\n");
        byte[] top = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[top.length + content.length];
        System.arraycopy(top, 0, all, 0, top.length);
        System.arraycopy(content, 0, all, top.length, content.length);
        socket.getOutputStream().write(all);
        Response answer = readResponse(socket.getInputStream());
        responseCount++;
        return answer;
    }

    private static Response readResponse(InputStream from) throws IOException {
        String first = readLine(from);
        Map<String, String> fields = new HashMap<>();
        for (String next = readLine(from); !next.isEmpty(); next = readLine(from)) {
            int colon = next.indexOf(':');
            String name = next.substring(0, colon).toLowerCase(Locale.ROOT);
            fields.put(name, next.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(fields.getOrDefault("content-length", "0"));
        byte[] body = from.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the answer ended after " + body.length + " of " + length);
        }
        int status = Integer.parseInt(first.split(" ")[1]);
        return new Response(status, fields, new String(body, StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream from) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = from.read(); next != '\n'; next = from.read()) {
            if (next < 0) {
                throw new IOException("the connection ended before an answer");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
