package wallmoor.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.Test;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpReader;

/** Tests that a watch's body is parsed alike wherever packets, chunks or lines split it. */
public class WatchStreamParserTest {
    @SuppressWarnings("StringConcatToTextBlock") // a text block would lose the carriage returns
    private static final String INDENTED = "{\n  \"revision\": 43,\r\n\r\n \t\n  \"members\": [\n"
            + "    {\"id\": \"s-\u00e9\u20ac\ud83d\ude00\"},\n\n"
            + "    {\"id\": \"}{[\\\"\\\\\"}\n  ]\n}";
    private static final String PLAIN = "{\"revision\":44,\"members\":[]}";
    /** Objects on several lines, on one line, and two on a line, with heartbeats between them. */
    private static final String BODY = "\n" + PLAIN + "\n" + INDENTED + "\r\n\r\n \t\n" + PLAIN + PLAIN + " \n" + PLAIN
            + "\n\n"
            + INDENTED;
    private static final List<String> EVENTS = List.of("", PLAIN, INDENTED, "", "", PLAIN, PLAIN, PLAIN, "", INDENTED);

    /** Records objects as text, and heartbeats as empty strings. */
    private static final class RecordingListener implements WatchStreamParser.WatchStreamListener {
        final List<String> events = new ArrayList<>();

        @Override
        public void onObject(ByteSlice json) {
            events.add(new String(json.buffer(), json.from(), json.length(), StandardCharsets.UTF_8));
        }

        @Override
        public void onHeartbeat() {
            events.add("");
        }
    }

    /** A connection whose bytes arrive in two pieces split at {@code cut}, or one by one if {@code cut} is negative. */
    private static final class SplitSocket extends Socket {
        private final InputStream bytes;
        private final int cut;
        private int bytesRead;

        SplitSocket(byte[] bytes, int cut) {
            this.bytes = new ByteArrayInputStream(bytes);
            this.cut = cut;
        }

        @Override
        public synchronized void setSoTimeout(int millis) {
            assertTrue(millis > 0);
        }

        @Override
        public InputStream getInputStream() {
            return new InputStream() {
                @Override
                public int read() throws IOException {
                    throw new IOException("expected reads into an array only");
                }

                @Override
                public int read(byte[] to, int from, int length) throws IOException {
                    int count = bytes.read(to, from,
                            cut < 0 ? 1 : bytesRead < cut ? Math.min(length, cut - bytesRead) : length);
                    bytesRead += Math.max(0, count);
                    return count;
                }
            };
        }
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a response with a chunked body, in chunks of {@code size} bytes. */
    private static byte[] chunked(byte[] body, int size) {
        var out = new ByteArrayOutputStream();
        out.writeBytes(utf8("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int at = 0; at < body.length; at += size) {
            int length = Math.min(size, body.length - at);
            out.writeBytes(utf8(
                    (at % 2 == 0 ? "00" : "") + Integer.toHexString(length) + (at % 3 == 0 ? ";x=y" : "") + "\r\n"));
            out.write(body, at, length);
            out.writeBytes(utf8("\r\n"));
        }
        out.writeBytes(utf8("0\r\n\r\n"));
        return out.toByteArray();
    }

    private static List<String> events(byte[] response, int cut) throws Exception {
        var listener = new RecordingListener();
        var parser = new WatchStreamParser(DiscoveryCall.MAX_OBJECT_BYTES, listener);
        try (var socket = new SplitSocket(response, cut)) {
            var in = new HttpReader(socket);
            assertTrue(in.await(1_000));
            in.answer(1_000, false);
            for (ByteSlice part = in.bodyPart(1_000); part != null; part = in.bodyPart(1_000)) {
                parser.read(part);
            }
        }
        return listener.events;
    }

    @Test
    public void parsesChunkedBodySplitAtAnyByte() throws Exception {
        for (int size : new int[] {1, 2, 7, 64, 100_000}) {
            byte[] response = chunked(utf8(BODY), size);
            for (int cut = -1; cut < response.length; cut++) {
                assertEquals("chunks of " + size + ", cut at " + cut, EVENTS, events(response, cut));
            }
        }
    }

    @Test
    public void parsesBodyWithContentLength() throws Exception {
        byte[] body = utf8(BODY);
        byte[] response = utf8(
                "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n" + BODY + "HTTP/1.1 200 OK\r\n");
        for (int cut = -1; cut < response.length; cut++) {
            assertEquals("cut at " + cut, EVENTS, events(response, cut));
        }
    }

    @Test
    public void reportsObjectAtClosingBracketAndItsLineEndIsNoHeartbeat() throws Exception {
        var listener = new RecordingListener();
        var parser = new WatchStreamParser(DiscoveryCall.MAX_OBJECT_BYTES, listener);
        byte[] object = utf8(INDENTED);
        parser.read(new ByteSlice(object, 0, object.length - 1));
        assertEquals(List.of(), listener.events);
        parser.read(new ByteSlice(object, object.length - 1, 1));
        assertEquals(List.of(INDENTED), listener.events);
        parser.read(new ByteSlice(utf8(" \r\n"), 0, 3));
        assertEquals(List.of(INDENTED), listener.events);
        parser.read(new ByteSlice(utf8(" \r\n"), 0, 3));
        assertEquals(List.of(INDENTED, ""), listener.events);
    }

    @Test
    public void acceptsObjectOfMaximumSizeAndRejectsLongerOne() throws Exception {
        var listener = new RecordingListener();
        String longest = "{" + " ".repeat(DiscoveryCall.MAX_OBJECT_BYTES - 2) + "}";
        new WatchStreamParser(DiscoveryCall.MAX_OBJECT_BYTES, listener)
                .read(new ByteSlice(utf8(longest), 0, longest.length()));
        assertEquals(1, listener.events.size());
        byte[] tooLong = utf8("{" + " ".repeat(DiscoveryCall.MAX_OBJECT_BYTES));
        assertThrows(MalformedEndpointListException.class,
                () -> new WatchStreamParser(DiscoveryCall.MAX_OBJECT_BYTES, listener)
                        .read(new ByteSlice(tooLong, 0, tooLong.length)));
    }

    @Test
    public void rejectsBytesThatAreNoObject() {
        for (String malformed : List.of("x", "]", "{}x", "[{}]", "{\"a\":\"b\n", "\"{}\"")) {
            assertThrows(malformed, MalformedEndpointListException.class,
                    () -> new WatchStreamParser(100, new RecordingListener())
                            .read(new ByteSlice(utf8(malformed), 0, utf8(malformed).length)));
        }
    }
}
