package gingerspool.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A blocking, persistent HTTP/1.1 connection, used by one thread at a time. */
final class HttpConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1000;

    /** A complete response; header names are in lower case. */
    record Response(int status, Map<String, String> headers, String body) {
        boolean isKeepAlive() {
            return !"close".equalsIgnoreCase(headers.get("connection"));
        }
    }

    private final Socket socket = new Socket();

    /** The number of responses received on this connection. */
    private int responseCount;

    HttpConnection(InetSocketAddress address, int responseTimeoutMs) throws IOException {
        socket.connect(address, CONNECT_TIMEOUT_MS);
        socket.setSoTimeout(responseTimeoutMs);
        socket.setTcpNoDelay(true);
    }

    boolean isReused() {
        return responseCount > 0;
    }

    /** Sends a request and reads its response; the connection is unusable after an exception. */
    Response send(String method, String target, Map<String, String> headers, String body)
            throws IOException {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + content.length + "\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[headBytes.length + content.length];
        System.arraycopy(headBytes, 0, message, 0, headBytes.length);
        System.arraycopy(content, 0, message, headBytes.length, content.length);
        socket.getOutputStream().write(message);
        Response response = readResponse(socket.getInputStream());
        responseCount++;
        return response;
    }

    private static Response readResponse(InputStream input) throws IOException {
        String statusLine = readLine(input);
        Map<String, String> headers = new HashMap<>();
        for (String headerLine = readLine(input);
                !headerLine.isEmpty();
                headerLine = readLine(input)) {
            int colon = headerLine.indexOf(':');
            String name = headerLine.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, headerLine.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new IOException("response body truncated after " + body.length + " of " + length);
        }
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        return new Response(status, headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int nextByte = input.read(); nextByte != '\n'; nextByte = input.read()) {
            if (nextByte < 0) {
                throw new IOException("connection closed before the end of the response");
            }
            line.append((char) nextByte);
        }
        return line.toString().strip();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
