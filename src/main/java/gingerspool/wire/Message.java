package gingerspool.wire;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BiConsumer;

/** Reads one HTTP/1.1 message, from bytes that come in pieces of any size. */
public final class Message {
    private static final int HEAD_MOST = 16 * 1024;
    private static final int BODY_MOST = 64 * 1024;
    private static final int CHUNK_LINE_MOST = 256;

    private enum Part {
        HEAD,
        LENGTH,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE,
        DONE
    }

    /** Takes a body as it comes. */
    public interface Sink {
        void body(byte[] bytes, int from, int to) throws BadMessage;
    }

    private final boolean request;
    private final int headMost;
    private final int bodyMost;
    private final Sink sink;
    private final boolean collects;
    private Part part = Part.HEAD;

    /** How far the bytes at hand were searched for the end of a line or head. */
    private int searched;

    private String[] startLine;
    private final List<String> names = new ArrayList<>();
    private final List<String> values = new ArrayList<>();
    private byte[] body = new byte[0];
    private int held;
    private long left;
    private int trailer;

    private Message(boolean request, Sink sink, int headMost, int bodyMost) {
        this.request = request;
        this.headMost = headMost;
        this.bodyMost = bodyMost;
        collects = sink == null;
        this.sink = collects ? this::collect : sink;
    }

    public static Message request() {
        return request(HEAD_MOST, BODY_MOST);
    }

    /** A request whose head and body have no more bytes than this. */
    public static Message request(int headMost, int bodyMost) {
        return new Message(true, null, headMost, bodyMost);
    }

    /** An answer; its body goes to the sink if there is one. */
    public static Message answer(Sink sink) {
        return answer(sink, BODY_MOST);
    }

    /** An answer whose body, where there is no sink, has no more bytes than this. */
    public static Message answer(Sink sink, int bodyMost) {
        return new Message(false, sink, HEAD_MOST, bodyMost);
    }

    // ---- What was read ----

    public boolean headRead() {
        return part != Part.HEAD;
    }

    public boolean done() {
        return part == Part.DONE;
    }

    /** Method of a request, version of an answer. */
    public String method() {
        return startLine[0];
    }

    /** Path and query of a request. */
    public String target() {
        return startLine[1];
    }

    public int status() {
        return Integer.parseInt(startLine[1]);
    }

    /** The value of the first field of this lower-case name, or null. */
    public String field(String name) {
        int i = names.indexOf(name);
        return i < 0 ? null : values.get(i);
    }

    /** Each field in its order: its lower-case name, its value. */
    public void eachField(BiConsumer<String, String> to) {
        for (int i = 0; i < names.size(); i++) {
            to.accept(names.get(i), values.get(i));
        }
    }

    public byte[] body() {
        return held == body.length ? body : Arrays.copyOf(body, held);
    }

    /** Whether the connection may carry another message after this one. */
    public boolean keepsAlive() {
        String version = request ? startLine[2] : startLine[0];
        boolean close = listed("connection", "close");
        return version.equals("HTTP/1.1") ? !close : listed("connection", "keep-alive");
    }

    public boolean wantsContinue() {
        return request && listed("expect", "100-continue") && !done();
    }

    private boolean listed(String name, String word) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equals(name)) {
                for (String s : values.get(i).split(",")) {
                    if (s.strip().equalsIgnoreCase(word)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** The head and the size of the body, for the log. */
    @Override
    public String toString() {
        return String.join(" ", startLine) + " " + names + " " + values + " body of " + held;
    }

    // ---- Reading ----

    /**
     * Takes what it can of these bytes and returns how many; the rest must be offered again with
     * more.
     */
    public int take(byte[] b, int from, int to) throws BadMessage {
        int at = from;
        int before;
        Part was;
        do {
            before = at;
            was = part;
            at =
                    switch (part) {
                        case HEAD -> head(b, at, to);
                        case LENGTH, CHUNK -> data(b, at, to);
                        case CHUNK_SIZE -> chunkSize(b, at, to);
                        case CHUNK_END -> chunkEnd(b, at, to);
                        case TRAILER -> trailer(b, at, to);
                        case UNTIL_CLOSE -> {
                            left = Long.MAX_VALUE;
                            yield data(b, at, to);
                        }
                        case DONE -> at;
                    };
        } while (at != before || part != was);
        return at - from;
    }

    /** The peer has ended its connection; tells whether that ends the message whole. */
    public boolean endsWithClose() {
        if (part == Part.UNTIL_CLOSE) {
            part = Part.DONE;
        }
        return part == Part.DONE;
    }

    private int head(byte[] b, int from, int to) throws BadMessage {
        // An empty line before a request is passed over.
        if (searched < 2 && to - from >= 2 && b[from] == '\r' && b[from + 1] == '\n') {
            searched = 0;
            return from + 2;
        }
        for (int i = Math.max(from + 3, from + searched); i < to; i++) {
            if (b[i] == '\n' && b[i - 1] == '\r' && b[i - 2] == '\n' && b[i - 3] == '\r') {
                if (i - from > headMost) {
                    throw new BadMessage(431, "head too long");
                }
                readHead(new String(b, from, i - 3 - from, StandardCharsets.ISO_8859_1));
                searched = 0;
                return i + 1;
            }
        }
        searched = to - from;
        if (searched > headMost) {
            throw new BadMessage(431, "head too long");
        }
        return from;
    }

    private void readHead(String head) throws BadMessage {
        // Not split at the line ends: that would compile a pattern for each message.
        int end = head.indexOf("\r\n");
        startLine = (end < 0 ? head : head.substring(0, end)).split(" ", request ? -1 : 3);
        checkStart();
        while (end >= 0) {
            int from = end + 2;
            end = head.indexOf("\r\n", from);
            String line = end < 0 ? head.substring(from) : head.substring(from, end);
            int colon = line.indexOf(':');
            String name = colon < 0 ? "" : line.substring(0, colon);
            String value = line.substring(colon + 1).strip();
            if (!isToken(name) || !isPlain(value)) {
                throw new BadMessage(400, "malformed header field");
            }
            names.add(name.toLowerCase(Locale.ROOT));
            values.add(value);
        }
        frame();
    }

    private void checkStart() throws BadMessage {
        if (request) {
            boolean sound =
                    startLine.length == 3
                            && isToken(startLine[0])
                            && startLine[1].startsWith("/")
                            && isPlain(startLine[1])
                            && startLine[1].indexOf('\t') < 0
                            && isVersion(startLine[2]);
            if (!sound) {
                throw new BadMessage(400, "malformed request line");
            }
        } else if (startLine.length < 2 || !isVersion(startLine[0]) || !isStatus(startLine[1])) {
            throw new BadMessage(400, "malformed status line");
        }
    }

    private static boolean isVersion(String s) {
        return s.equals("HTTP/1.1") || s.equals("HTTP/1.0");
    }

    /** Three digits, the first no zero. */
    private static boolean isStatus(String s) {
        boolean digits = s.length() == 3 && s.charAt(0) != '0';
        for (int i = 0; digits && i < 3; i++) {
            digits = s.charAt(i) >= '0' && s.charAt(i) <= '9';
        }
        return digits;
    }

    static boolean isToken(String s) {
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            boolean letter = c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9';
            if (!letter && "!#$%&'*+-.^_`|~".indexOf(c) < 0) {
                return false;
            }
        }
        return !s.isEmpty();
    }

    private static boolean isPlain(String s) {
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c < ' ' && c != '\t' || c == 0x7f) {
                return false;
            }
        }
        return true;
    }

    /** How the body is framed. Guards against requests smuggled behind doubtful lengths. */
    private void frame() throws BadMessage {
        int lengths = 0;
        int codings = 0;
        for (String n : names) {
            lengths += n.equals("content-length") ? 1 : 0;
            codings += n.equals("transfer-encoding") ? 1 : 0;
        }
        if (lengths > 1 || codings > 1 || lengths + codings > 1) {
            throw new BadMessage(400, "more than one length");
        }
        if (codings > 0 && !field("transfer-encoding").equalsIgnoreCase("chunked")) {
            throw new BadMessage(request ? 501 : 400, "unknown transfer coding");
        }
        if (!request && (status() < 200 || status() == 204 || status() == 304)) {
            part = Part.DONE;
        } else if (codings > 0) {
            part = Part.CHUNK_SIZE;
        } else if (lengths > 0) {
            left = number(field("content-length"), 10);
            if (left > bodyMost && collects) {
                throw new BadMessage(413, "body too long");
            }
            part = left == 0 ? Part.DONE : Part.LENGTH;
        } else {
            part = request ? Part.DONE : Part.UNTIL_CLOSE;
        }
    }

    /** A whole number of digits only. */
    static long number(String text, int radix) throws BadMessage {
        boolean digits = !text.isEmpty() && text.length() <= 15;
        long n = 0;
        for (int i = 0; digits && i < text.length(); i++) {
            int d = text.charAt(i) < 0x80 ? Character.digit(text.charAt(i), radix) : -1;
            digits = d >= 0;
            n = n * radix + d;
        }
        if (!digits) {
            throw new BadMessage(400, "not a number: " + text);
        }
        return n;
    }

    private int data(byte[] b, int from, int to) throws BadMessage {
        int n = (int) Math.min(left, to - from);
        if (n > 0) {
            sink.body(b, from, from + n);
        }
        left -= n;
        if (left == 0) {
            part = part == Part.CHUNK ? Part.CHUNK_END : Part.DONE;
        }
        return from + n;
    }

    private void collect(byte[] b, int from, int to) throws BadMessage {
        int n = to - from;
        if (held + n > bodyMost) {
            throw new BadMessage(413, "body too long");
        }
        if (held + n > body.length) {
            body = Arrays.copyOf(body, Math.min(bodyMost, Math.max(held + n, 2 * body.length)));
        }
        System.arraycopy(b, from, body, held, n);
        held += n;
    }

    /** Where the line that begins here ends (at its CR), or -1. */
    private int line(byte[] b, int from, int to, int most) throws BadMessage {
        for (int i = from + 1; i < to; i++) {
            if (b[i] == '\n') {
                if (b[i - 1] != '\r') {
                    throw new BadMessage(400, "a line ends without CR");
                }
                return i - 1;
            }
        }
        if (to - from > most) {
            throw new BadMessage(400, "line too long");
        }
        return -1;
    }

    private int chunkSize(byte[] b, int from, int to) throws BadMessage {
        int end = line(b, from, to, CHUNK_LINE_MOST);
        if (end < 0) {
            return from;
        }
        String text = new String(b, from, end - from, StandardCharsets.ISO_8859_1);
        int extension = text.indexOf(';');
        left = number((extension < 0 ? text : text.substring(0, extension)).strip(), 16);
        part = left == 0 ? Part.TRAILER : Part.CHUNK;
        return end + 2;
    }

    private int chunkEnd(byte[] b, int from, int to) throws BadMessage {
        if (to - from < 2) {
            return from;
        }
        if (b[from] != '\r' || b[from + 1] != '\n') {
            throw new BadMessage(400, "a chunk is longer than its size");
        }
        part = Part.CHUNK_SIZE;
        return from + 2;
    }

    private int trailer(byte[] b, int from, int to) throws BadMessage {
        int end = line(b, from, to, HEAD_MOST);
        if (end < 0) {
            return from;
        }
        trailer += end - from;
        if (trailer > HEAD_MOST) {
            throw new BadMessage(431, "trailer too long");
        }
        part = end == from ? Part.DONE : part;
        return end + 2;
    }
}
