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

/** An HTTP client for one server, on one persistent connection. Not thread-safe. */
final class SiteClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 250;
    /** Answer timeout; other servers wait for the same thread. */
    private static final int ANSWER_TIMEOUT_MILLIS = 500;
    private static final int MAX_WIDENINGS_BYTES = 256 * 1024;

    private final String site;
    private final String address;
    private final String gatherer;
    private final int maxSummaryBytes;
    private Socket socket;
    private HttpReader in;

    /**
     * Creates a client without a connection.
     *
     * @param gatherer unique name of this process, because an acknowledgement of another process is not valid for it
     * @param maxSummaryBytes maximum size of a summary
     */
    SiteClient(String site, String address, String gatherer, int maxSummaryBytes) {
        this.site = site;
        this.address = address;
        this.gatherer = escaped(gatherer);
        this.maxSummaryBytes = maxSummaryBytes;
    }

    private static String escaped(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    /**
     * Requests a lease on a block's summary. The grant repeats the ticket of its request, so that a response from the
     * cache of a proxy is recognized by its older ticket.
     */
    SiteMessage.SummaryLeaseGrant requestLease(String block, long ticket) throws IOException, HttpProtocolException {
        HttpMessage answer = request("/summaries/promise?gatherer=" + gatherer + "&block=" + escaped(block)
                + "&ticket=" + ticket, null);
        String lifetime = answer.header("Wallmoor-Lifetime-Ms");
        String returnedTicket = answer.header("Wallmoor-Ticket");
        if (lifetime == null || !lifetime.matches("[0-9]{1,9}") || returnedTicket == null
                || !returnedTicket.matches("[0-9]{1,18}")) {
            throw new HttpProtocolException(502, "lease grant has missing or malformed headers:"
                    + " Wallmoor-Lifetime-Ms=" + lifetime + " Wallmoor-Ticket=" + returnedTicket);
        }
        ByteSlice body = answer.body();
        if (body.length() > maxSummaryBytes) {
            throw new HttpProtocolException(502,
                    "a summary of " + body.length() + " bytes: raise summaries.most_bytes, or lower "
                            + "`bytes` at the site");
        }
        return new SiteMessage.SummaryLeaseGrant(Long.parseLong(returnedTicket),
                Arrays.copyOfRange(body.buffer(), body.from(), body.from() + body.length()),
                Long.parseLong(lifetime) * 1000);
    }

    /** Acknowledges the applied widenings and polls for further ones. */
    List<SiteMessage.Widening> pollWidenings(List<WideningMessages.Acknowledged> acknowledged)
            throws IOException, HttpProtocolException, Json.Malformed {
        HttpMessage answer = request("/summaries/news?gatherer=" + gatherer,
                WideningMessages.acknowledge(acknowledged));
        return WideningMessages.read(site, answer.body(), maxSummaryBytes);
    }

    /**
     * Sends a request. If this fails on a reused connection, which the server may have closed, it is repeated once on a
     * new connection; all requests may be repeated.
     */
    private HttpMessage request(String target, byte[] json) throws IOException, HttpProtocolException {
        boolean reused = socket != null;
        try {
            return requestOnce(target, json);
        } catch (IOException e) {
            close();
            if (!reused) {
                throw e;
            }
            return requestOnce(target, json);
        }
    }

    private HttpMessage requestOnce(String target, byte[] json) throws IOException, HttpProtocolException {
        if (socket == null) {
            socket = new Socket(Proxy.NO_PROXY);
            socket.setTcpNoDelay(true);
            InetSocketAddress to = LaunchConfig.address("address", address);
            socket.connect(to, CONNECT_TIMEOUT_MILLIS);
            in = new HttpReader(socket);
            in.setMaxBodyBytes(Math.max(maxSummaryBytes, MAX_WIDENINGS_BYTES));
        }
        if (json == null) {
            HttpWriter.get(socket.getOutputStream(), address, target, "Cache-Control: no-store\r\n");
        } else {
            HttpWriter.post(socket.getOutputStream(), address, target, json);
        }
        boolean reusable = false;
        try {
            if (!in.await(ANSWER_TIMEOUT_MILLIS)) {
                throw new IOException("connection closed before the answer to " + target);
            }
            HttpMessage answer = in.answer(ANSWER_TIMEOUT_MILLIS, true);
            if (answer.status() != 200) {
                throw new HttpProtocolException(502, "status " + answer.status() + " for " + target);
            }
            reusable = answer.keepAlive();
            return answer;
        } catch (java.net.SocketTimeoutException e) {
            throw new HttpProtocolException(504, "no answer to " + target + " within " + ANSWER_TIMEOUT_MILLIS + " ms");
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
                // nothing more can be done about a failed close
            }
            socket = null;
        }
    }
}
