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

/** A watch's body is read alike wherever the network, the chunks or the lines cut it. */
public class WatchStreamParserTest {
    @SuppressWarnings("StringConcatToTextBlock") // a text block would lose the carriage returns
    private static final String INDENTED = "{\n  \"revision\": 43,\r\n\r\n \t\n  \"members\": [\n"
            + "    {\"id\": \"s-\u00e9\u20ac\ud83d\ude00\"},\n\n"
            + "    {\"id\": \"}{[\\\"\\\\\"}\n  ]\n}";
    private static final String PLAIN = "{\"revision\":44,\"members\":[]}";
    /** Objects over lines, on one line, two on a line, and the heartbeats between them. */
    private static final String BODY = "\n" + PLAIN + "\n" + INDENTED + "\r\n\r\n \t\n" + PLAIN + PLAIN + " \n" + PLAIN
            + "\n\n"
            + INDENTED;
    private static final List<String> EVENTS = List.of("", PLAIN, INDENTED, "", "", PLAIN, PLAIN, PLAIN, "", INDENTED);

    /** Writes down objects, and heartbeats as empty texts. */
    private static final class Events implements WatchStreamParser.WatchStreamListener {
        final List<String> seen = new ArrayList<>();

        @Override
        public void object(ByteSlice json) {
            seen.add(new String(json.buffer(), json.from(), json.length(), StandardCharsets.UTF_8));
        }

        @Override
        public void heartbeat() {
            seen.add("");
        }
    }

    /** A connection whose bytes come in two pieces, or one by one where the cut is below 0. */
    private static final class CutSocket extends Socket {
        private final InputStream bytes;
        private final int cut;
        private int read;

        CutSocket(byte[] bytes, int cut) {
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
                    throw new IOException("read in pieces");
                }

                @Override
                public int read(byte[] to, int from, int length) throws IOException {
                    int n = bytes.read(to, from, cut < 0 ? 1 : read < cut ? Math.min(length, cut - read) : length);
                    read += Math.max(0, n);
                    return n;
                }
            };
        }
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** An answer whose body goes in chunks of so many bytes. */
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

    private static List<String> events(byte[] answer, int cut) throws Exception {
        var events = new Events();
        var reader = new WatchStreamParser(DiscoveryCall.MAX_OBJECT_BYTES, events);
        try (var socket = new CutSocket(answer, cut)) {
            var in = new HttpReader(socket);
            assertTrue(in.await(1_000));
            in.answer(1_000, false);
            for (ByteSlice part = in.bodyPart(1_000); part != null; part = in.bodyPart(1_000)) {
                reader.read(part);
            }
        }
        return events.seen;
    }

    @Test
    public void aStreamCutAtAnyByteTellsTheSame() throws Exception {
        for (int size : new int[] {1, 2, 7, 64, 100_000}) {
            byte[] answer = chunked(utf8(BODY), size);
            for (int cut = -1; cut < answer.length; cut++) {
                assertEquals("chunks of " + size + ", cut at " + cut, EVENTS, events(answer, cut));
            }
        }
    }

    @Test
    public void aBodyWithALengthEndsByItself() throws Exception {
        byte[] body = utf8(BODY);
        byte[] answer = utf8(
                "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n" + BODY + "HTTP/1.1 200 OK\r\n");
        for (int cut = -1; cut < answer.length; cut++) {
            assertEquals("cut at " + cut, EVENTS, events(answer, cut));
        }
    }

    @Test
    public void anObjectCountsFromItsLastBracketAndItsLineEndIsNoHeartbeat() throws Exception {
        var events = new Events();
        var reader = new WatchStreamParser(DiscoveryCall.MAX_OBJECT_BYTES, events);
        byte[] object = utf8(INDENTED);
        reader.read(new ByteSlice(object, 0, object.length - 1));
        assertEquals(List.of(), events.seen);
        reader.read(new ByteSlice(object, object.length - 1, 1));
        assertEquals(List.of(INDENTED), events.seen);
        reader.read(new ByteSlice(utf8(" \r\n"), 0, 3));
        assertEquals(List.of(INDENTED), events.seen);
        reader.read(new ByteSlice(utf8(" \r\n"), 0, 3));
        assertEquals(List.of(INDENTED, ""), events.seen);
    }

    @Test
    public void anObjectOfTheMostBytesIsTakenAndNoLongerOne() throws Exception {
        var events = new Events();
        String most = "{" + " ".repeat(DiscoveryCall.MAX_OBJECT_BYTES - 2) + "}";
        new WatchStreamParser(DiscoveryCall.MAX_OBJECT_BYTES, events).read(new ByteSlice(utf8(most), 0, most.length()));
        assertEquals(1, events.seen.size());
        byte[] more = utf8("{" + " ".repeat(DiscoveryCall.MAX_OBJECT_BYTES));
        assertThrows(MalformedEndpointListException.class,
                () -> new WatchStreamParser(DiscoveryCall.MAX_OBJECT_BYTES, events)
                        .read(new ByteSlice(more, 0, more.length)));
    }

    @Test
    public void whatIsNoObjectIsRefusedWhereItStands() {
        for (String bad : List.of("x", "]", "{}x", "[{}]", "{\"a\":\"b\n", "\"{}\"")) {
            assertThrows(bad, MalformedEndpointListException.class, () -> new WatchStreamParser(100, new Events())
                    .read(new ByteSlice(utf8(bad), 0, utf8(bad).length)));
        }
    }
}
