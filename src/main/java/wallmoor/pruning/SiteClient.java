package wallmoor.pruning;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.Socket;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import wallmoor.config.LaunchConfig;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.HttpReader;
import wallmoor.http.HttpWriter;
import wallmoor.json.Json;
import wallmoor.summaries.SiteMessage;

/** The HTTP client of one server, on one persistent connection. Not thread-safe. */
final class SiteClient {
    private static final int CONNECT_MILLIS = 250;
    /** A server that takes longer is left for later: others wait for this thread. */
    private static final int ANSWER_MILLIS = 500;
    private static final int MAX_WIDENINGS_BYTES = 256 * 1024;

    private final String site;
    private final String address;
    private final String gatherer;
    private final int mostBytes;
    private Socket socket;
    private HttpReader in;

    /** {@code gatherer} is this process's own name: another's acknowledgement must not stand for it. */
    SiteClient(String site, String address, String gatherer, int mostBytes) {
        this.site = site;
        this.address = address;
        this.gatherer = escaped(gatherer);
        this.mostBytes = mostBytes;
    }

    private static String escaped(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /**
     * Requests a lease on a block's summary. The grant repeats the ticket of its request: a response that a proxy has
     * cached has an older one.
     */
    SiteMessage.SummaryLeaseGrant requestLease(String block, long ticket) throws IOException, HttpProtocolException {
        HttpMessage answer = ask("/summaries/promise?gatherer=" + gatherer + "&block=" + escaped(block)
                + "&ticket=" + ticket, null);
        String lifetime = answer.header("Wallmoor-Lifetime-Ms");
        String back = answer.header("Wallmoor-Ticket");
        if (lifetime == null || !lifetime.matches("[0-9]{1,9}") || back == null || !back.matches("[0-9]{1,18}")) {
            throw new HttpProtocolException(502, "its promise has no Wallmoor-Lifetime-Ms, or no Wallmoor-Ticket");
        }
        ByteSlice body = answer.body();
        if (body.length() > mostBytes) {
            throw new HttpProtocolException(502,
                    "a summary of " + body.length() + " bytes: raise summaries.most_bytes, or lower "
                            + "`bytes` at the site");
        }
        return new SiteMessage.SummaryLeaseGrant(Long.parseLong(back), Arrays.copyOfRange(body.buffer(), body.from(),
                body.from() + body.length()), Long.parseLong(lifetime) * 1000);
    }

    /** Acknowledges the widenings applied, and polls for further ones. */
    List<SiteMessage.Widening> pollWidenings(List<WideningMessages.Acknowledged> counting)
            throws IOException, HttpProtocolException, Json.Malformed {
        HttpMessage answer = ask("/summaries/news?gatherer=" + gatherer, WideningMessages.acknowledge(counting));
        return WideningMessages.read(site, answer.body(), mostBytes);
    }

    /** Asks; on a kept connection that the server has closed meanwhile, once more on a new one: it may be repeated. */
    private HttpMessage ask(String target, byte[] json) throws IOException, HttpProtocolException {
        boolean reused = socket != null;
        try {
            return once(target, json);
        } catch (IOException e) {
            close();
            if (!reused) {
                throw e;
            }
            return once(target, json);
        }
    }

    private HttpMessage once(String target, byte[] json) throws IOException, HttpProtocolException {
        if (socket == null) {
            socket = new Socket(Proxy.NO_PROXY);
            socket.setTcpNoDelay(true);
            InetSocketAddress to = LaunchConfig.address("address", address);
            socket.connect(to, CONNECT_MILLIS);
            in = new HttpReader(socket);
            in.setMaxBodyBytes(Math.max(mostBytes, MAX_WIDENINGS_BYTES));
        }
        if (json == null) {
            HttpWriter.get(socket.getOutputStream(), address, target, "Cache-Control: no-store\r\n");
        } else {
            HttpWriter.post(socket.getOutputStream(), address, target, json);
        }
        boolean reusable = false;
        try {
            if (!in.await(ANSWER_MILLIS)) {
                throw new IOException("closed before an answer");
            }
            HttpMessage answer = in.answer(ANSWER_MILLIS, true);
            if (answer.status() != 200) {
                throw new HttpProtocolException(502, "status " + answer.status());
            }
            reusable = answer.keepAlive();
            return answer;
        } catch (java.net.SocketTimeoutException e) {
            throw new HttpProtocolException(504, "no answer within " + ANSWER_MILLIS + " ms");
        } finally {
            if (!reusable) {
                close();
            }
        }
    }

    void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed as far as it can be
            }
            socket = null;
        }
    }
}
