package wallmoor.ogc;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.http.ByteSlice;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.HttpReader;
import wallmoor.http.HttpWriter;
import wallmoor.json.Json;

/**
 * One attempt at a feature server: all upstream pages of one part, one after another on one connection. The part
 * counts only when all of them are in; a later page that fails may not pass for a part that never ran.
 */
final class FeatureFetch {
    /** Upstream pages of one part at most: what a server has beyond them is for the client's next page. */
    private static final int MOST_PAGES = 64;
    /** Features asked for at once: a page must fit the longest body. */
    private static final int MOST_ASKED = 50;
    private static final long RETIRE_NANOS = 3_000_000_000L;

    /** A connection between two attempts. */
    record PooledConnection(Socket socket, HttpReader in, String address, long since) {
        /** Whether its server may be about to close it. */
        boolean isOld() {
            return System.nanoTime() - since > RETIRE_NANOS;
        }

        /** Whether it is young enough and the server has not closed it meanwhile. */
        boolean usable() {
            try {
                if (!isOld()) {
                    in.await(1);
                }
                return false; // too old, at its end, or with bytes that nobody asked for
            } catch (SocketTimeoutException e) {
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // it is closed as far as it can be
            }
        }
    }

    private final Attempt attempt;
    private final Gatherer gatherer;
    private final int connectMillis;
    private PooledConnection connection;
    private AttemptOutcome calledOff;
    private boolean ran;
    private boolean ended;
    /** The version of its data that the server told with its last page, or null. */
    private String data;

    FeatureFetch(Attempt attempt, Gatherer gatherer, int connectMillis) {
        this.attempt = attempt;
        this.gatherer = gatherer;
        this.connectMillis = connectMillis;
    }

    /** Calls it off: closing the connection is how a feature server is told. */
    synchronized void cancel(AttemptOutcome as) {
        calledOff = as;
        if (connection != null) {
            connection.close();
        }
    }

    private synchronized boolean use(PooledConnection c) {
        connection = c;
        return calledOff == null;
    }

    private synchronized AttemptOutcome calledOff(AttemptOutcome otherwise) {
        return calledOff != null ? ran ? calledOff : AttemptOutcome.NOT_SENT : otherwise;
    }

    /** Runs the attempt on this thread and reports it. Returns a connection that can be used again, or null. */
    PooledConnection run(PooledConnection kept) {
        AttemptOutcome outcome = AttemptOutcome.ERROR;
        byte[] value = null;
        boolean keep = false;
        try {
            FeatureQuery asked = (FeatureQuery) attempt.query().attachment();
            if (kept != null ? !use(kept) : !connect()) {
                outcome = AttemptOutcome.CONNECT_FAILED;
            } else {
                value = pages(asked).encode();
                outcome = AttemptOutcome.SERVED;
                keep = !ended;
            }
        } catch (SendNotPermitted e) {
            outcome = AttemptOutcome.NOT_SENT;
        } catch (RequestRejected e) {
            outcome = AttemptOutcome.REJECTED;
        } catch (IOException e) {
            outcome = ran ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED;
        } catch (HttpProtocolException | Json.Malformed | RuntimeException | OutOfMemoryError e) {
            outcome = AttemptOutcome.ERROR;
        }
        if (!keep && connection != null) {
            connection.close();
        }
        // what came in whole counts, even if it crossed the call to give up
        gatherer.report(attempt, value != null ? outcome : calledOff(outcome), value);
        return keep ? new PooledConnection(connection.socket, connection.in, connection.address, System.nanoTime())
                : null;
    }

    /** Turned away before anything of the part ran. */
    private static final class RequestRejected extends Exception {
        private static final long serialVersionUID = 1L;
    }

    /** What was to be its first request was not permitted any more. */
    private static final class SendNotPermitted extends Exception {
        private static final long serialVersionUID = 1L;
    }

    private boolean connect() throws IOException {
        String at = attempt.worker().address(); // once: a list may change it meanwhile
        InetSocketAddress address = LaunchConfig.address("address", at);
        var socket = new Socket();
        if (!use(new PooledConnection(socket, null, at, 0))) {
            return false;
        }
        socket.setTcpNoDelay(true);
        socket.connect(address, (int) Math.max(1, Math.min(connectMillis, millisLeft())));
        return use(new PooledConnection(socket, new HttpReader(socket), at, 0));
    }

    private long millisLeft() {
        return attempt.remainingMillis(gatherer.now());
    }

    private FeatureQuery.ShardFeatures pages(FeatureQuery asked)
            throws IOException, HttpProtocolException, Json.Malformed, RequestRejected, SendNotPermitted {
        if (asked.featureId() != null) {
            HttpMessage answer = get(asked.collection().items(attempt.shard()) + "/" + asked.featureId());
            if (answer.status() == 404) {
                return share(List.of(), 1, false);
            }
            ByteSlice body = answer.body();
            Json.Obj feature = Json.object(body.buffer(), body.from(), body.length());
            return share(List.of(raw(feature, body)), 1, false);
        }
        var features = new ArrayList<byte[]>();
        int from = asked.offsets().get(attempt.shard());
        int limit = Math.min(MOST_ASKED, asked.maxFeatures());
        String target = target(asked, limit, from);
        int bytes = 0;
        for (int page = 0; page < MOST_PAGES; page++) {
            ByteSlice body;
            try {
                body = get(target).body();
            } catch (HttpProtocolException e) {
                if (e.status() != 413 || limit == 1 || !asked.idempotent()) {
                    throw e;
                }
                limit = Math.max(1, limit / 4); // so many features don't fit a body: fewer may
                target = target(asked, limit, from + features.size());
                ended = true;
                continue;
            }
            Json.Obj json = Json.object(body.buffer(), body.from(), body.length());
            if (!"FeatureCollection".equals(json.text("type")) || json.list("features") == null) {
                throw new HttpProtocolException(502, "no FeatureCollection");
            }
            for (Object f : json.list("features")) {
                if (!(f instanceof Json.Obj feature)) {
                    throw new HttpProtocolException(502, "no Feature");
                }
                features.add(raw(feature, body));
                bytes += feature.end() - feature.start();
            }
            String next = next(json);
            if (next == null || features.size() >= asked.maxFeatures() || bytes > FeaturesFront.MOST_FEATURES_BYTES) {
                return share(features, asked.maxFeatures(), next != null);
            }
            target = onThisServer(next, target);
        }
        if (features.isEmpty()) {
            throw new HttpProtocolException(502, "pages without end");
        }
        return share(features, asked.maxFeatures(), true);
    }

    private String target(FeatureQuery asked, int limit, int from) {
        return asked.collection().items(attempt.shard()) + "?limit=" + limit + "&offset=" + from + asked.query();
    }

    /** At most the features wanted; those beyond are still to come. */
    private FeatureQuery.ShardFeatures share(List<byte[]> features, int wanted, boolean more) {
        return FeatureQuery.ShardFeatures.of(more || features.size() > wanted,
                features.subList(0, Math.min(features.size(), wanted)), attempt.worker().id(), data);
    }

    private static byte[] raw(Json.Obj feature, ByteSlice body) throws HttpProtocolException {
        if (!"Feature".equals(feature.text("type")) || !feature.members().containsKey("geometry")) {
            throw new HttpProtocolException(502, "no Feature");
        }
        return Arrays.copyOfRange(body.buffer(), feature.start(), feature.end());
    }

    /** Pages of a part belong to its attempt: a link to another machine is not followed. */
    private String onThisServer(String next, String from) throws HttpProtocolException {
        try {
            URI uri = URI.create("http://" + attempt.worker().address() + from).resolve(next);
            boolean here = attempt.worker().address().equals(uri.getRawAuthority());
            if (!here || uri.getRawPath() == null || uri.getRawPath().isEmpty()) {
                throw new HttpProtocolException(502, "next page on another server");
            }
            return uri.getRawPath() + (uri.getRawQuery() == null ? "" : "?" + uri.getRawQuery());
        } catch (IllegalArgumentException e) {
            throw new HttpProtocolException(502, "malformed link");
        }
    }

    private static String next(Json.Obj json) {
        List<?> links = json.list("links");
        for (Object link : links == null ? List.of() : links) {
            if (link instanceof Json.Obj l && "next".equals(l.text("rel"))) {
                return l.text("href");
            }
        }
        return null;
    }

    private HttpMessage get(String target)
            throws IOException, HttpProtocolException, RequestRejected, SendNotPermitted {
        boolean first = !ran;
        if (ended) { // this server closes after each page
            connection.close();
            ended = false;
            if (!connect()) {
                throw new IOException("called off");
            }
        }
        var out = connection.socket.getOutputStream();
        synchronized (this) {
            if (calledOff != null) {
                throw new IOException("called off");
            }
            if (first && !attempt.checkPermission(gatherer.now(), connection.address).granted()) {
                throw new SendNotPermitted();
            }
            ran = true; // from the first byte on it may have
        }
        HttpWriter.get(out, attempt.worker().address(), target, "Accept: application/geo+json, application/json\r\n");
        int left = (int) Math.max(1, millisLeft());
        if (!connection.in.await(left)) {
            throw new IOException("closed before an answer");
        }
        HttpMessage answer = connection.in.answer(left, true);
        int status = answer.status();
        if (first && (status == 429 || status == 503)) {
            throw new RequestRejected();
        }
        if (status != 200 && !(status == 404 && target.matches("[^?]*/items/[^/]+"))) {
            throw new HttpProtocolException(502, "status " + status);
        }
        ended = !answer.keep();
        data = answer.header("Wallmoor-Data");
        return answer;
    }
}
