package wallmoor.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import wallmoor.http.RequestScanner.Result;

/**
 * Compares the scanner with the reader on random requests, valid and faulty, cut into random pieces: the scanner must
 * find an end or a fault exactly when the reader has one, or a request would wait for bytes that never come.
 */
class RequestScannerPropertiesTest {
    private static final String[] LINES = {"Host: h", "a:b", "Content-Length: 5", "content-length: 0",
        "Content-Length: 6", "Content-Length: 70000", "Content-Length: x", "Transfer-Encoding: chunked",
        "Transfer-Encoding: gzip", "no colon", ": x", "a b: c", "Connection: close", "X: " + "y".repeat(5_000),
        "\tz: 1"};
    private static final String[] REQUEST_LINES = {"POST /api HTTP/1.1", "GET / HTTP/1.0", "GET / HTTP/2",
        "GET x HTTP/1.1",
        "GET /", "", " / HTTP/1.1", "GET /" + "p".repeat(17_000) + " HTTP/1.1"};
    private static final String[] BODIES = {"", "12345", "123456789", "5\r\nabcde\r\n0\r\n\r\n", "0\r\n\r\n",
        "5;x=y\r\nabcde\r\n3\nabc\n0\r\nT: 1\r\n\r\n", "g\r\n", "5\r\nabcdeX\r\n", "fffffff\r\n", "99999999\r\n",
        "1\r\na\r\n".repeat(50) + "0\r\n" + "b:c\r\n".repeat(70) + "\r\n", "9000\r\n" + "z".repeat(0x9000)
                + "\r\n9000\r\n"};

    @Property(tries = 2_000)
    void findsTheEndWhereTheReaderFindsIt(@ForAll long seed) throws Exception {
        var random = new Random(seed);
        byte[] bytes = randomRequest(random).getBytes(StandardCharsets.ISO_8859_1);
        var scanner = new RequestScanner();
        Result result = Result.INCOMPLETE;
        int received = 0;
        while (result == Result.INCOMPLETE && received < bytes.length) {
            received = Math.min(bytes.length, received + 1 + random.nextInt(random.nextBoolean() ? 5 : 4_000));
            result = scanner.scan(bytes, 0, received);
        }
        String read = read(bytes, received);
        switch (result) {
            case COMPLETE -> {
                assertEquals("complete", read);
                assertEquals("complete", read(bytes, scanner.length()));
                assertEquals("incomplete", read(bytes, scanner.length() - 1));
            }
            case FAULTY -> assertNotNull(read.startsWith("fault") ? read : null, read);
            default -> assertEquals("incomplete", read);
        }
    }

    /** Reads a prefix of the bytes; returns whether it is a complete request, a part of one, or faulty. */
    private static String read(byte[] bytes, int length) throws IOException {
        var incoming = new IncomingBytes(Integer.MAX_VALUE, () -> {});
        incoming.add(ByteBuffer.wrap(bytes, 0, length));
        incoming.end();
        var reader = new HttpReader(incoming);
        try {
            if (!reader.await(1_000)) {
                return "incomplete";
            }
            reader.request(1_000);
            return "complete";
        } catch (HttpProtocolException e) {
            return "fault " + e.status();
        } catch (IOException e) {
            return "incomplete";
        }
    }

    private static String randomRequest(Random random) {
        var text = new StringBuilder(pickMostlyFirst(random, REQUEST_LINES)).append(lineEnd(random));
        int headers = random.nextInt(10) == 0 ? 60 + random.nextInt(10) : random.nextInt(5);
        for (int i = 0; i < headers; i++) {
            String line = headers > 10 ? LINES[random.nextInt(2)] : LINES[random.nextInt(LINES.length)];
            text.append(line).append(lineEnd(random));
        }
        if (random.nextInt(3) == 0) {
            text.append("Transfer-Encoding: chunked").append(lineEnd(random));
        } else if (random.nextInt(3) == 0) {
            text.append("Content-Length: ").append(random.nextInt(12)).append(lineEnd(random));
        }
        text.append(lineEnd(random)).append(BODIES[random.nextInt(BODIES.length)]);
        return random.nextInt(4) == 0 ? text.substring(0, random.nextInt(text.length())) : text.toString();
    }

    private static String pickMostlyFirst(Random random, String[] texts) {
        return texts[random.nextInt(3) > 0 ? 0 : random.nextInt(texts.length)];
    }

    private static String lineEnd(Random random) {
        return random.nextInt(4) == 0 ? "\n" : "\r\n";
    }
}
