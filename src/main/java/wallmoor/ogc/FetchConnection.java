package wallmoor.ogc;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import wallmoor.config.LaunchConfig;
import wallmoor.core.Attempt;
import wallmoor.core.AttemptOutcome;
import wallmoor.core.Gatherer;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.HttpReader;
import wallmoor.http.HttpWriter;

/**
 * The connection of one attempt, its requests one after another. It owns whether a request was sent and whether the
 * attempt was cancelled; a cancel comes from another thread than the requests.
 */
final class FetchConnection {
    private final Attempt attempt;
    private final Gatherer gatherer;
    private final int connectMillis;
    private PooledConnection connection;
    /** What the gatherer cancelled the attempt as, or null. */
    private AttemptOutcome cancelledAs;
    private boolean sent;
    /** Whether the next request needs a new connection. */
    private boolean ended;

    FetchConnection(Attempt attempt, Gatherer gatherer, int connectMillis) {
        this.attempt = attempt;
        this.gatherer = gatherer;
        this.connectMillis = connectMillis;
    }

    /** Cancels the attempt: closing the connection is how a feature server is notified. */
    synchronized void cancel(AttemptOutcome outcome) {
        cancelledAs = outcome;
        if (connection != null) {
            connection.close();
        }
    }

    private synchronized boolean use(PooledConnection opened) {
        connection = opened;
        return cancelledAs == null;
    }

    /** The outcome of an attempt without a value: the cancel's, if there was one, or else this one. */
    synchronized AttemptOutcome outcomeUnlessCancelled(AttemptOutcome outcome) {
        if (cancelledAs == null) {
            return outcome;
        }
        return sent ? cancelledAs : AttemptOutcome.NOT_SENT;
    }

    /** Whether the server may have seen a byte of the attempt. */
    boolean hasSent() {
        return sent;
    }

    /**
     * Takes an idle connection, or opens one.
     *
     * @param idle null for a new one
     * @return whether the attempt may go on: false if it was cancelled meanwhile
     */
    boolean open(PooledConnection idle) throws IOException {
        return idle != null ? use(idle) : connect();
    }

    private boolean connect() throws IOException {
        String at = attempt.worker().address(); // once: an endpoint update may change it meanwhile
        InetSocketAddress address = LaunchConfig.address("address", at);
        var socket = new Socket();
        if (!use(new PooledConnection(socket, null, at, 0))) {
            return false;
        }
        socket.setTcpNoDelay(true);
        socket.connect(address, (int) Math.max(1, Math.min(connectMillis, remainingMillis())));
        return use(new PooledConnection(socket, new HttpReader(socket), at, 0));
    }

    private long remainingMillis() {
        return attempt.remainingMillis(gatherer.now());
    }

    /** Has the next request use a new connection, where the rest of an answer was not read. */
    void reconnectBeforeNextRequest() {
        ended = true;
    }

    /**
     * Sends a request and reads its answer: 200, or 404 for one feature.
     *
     * @throws IOException                if the connection failed or the attempt was cancelled
     * @throws HttpProtocolException      if the answer is malformed, too long (413) or has another status (502)
     * @throws ServerRejectedException   if the server rejected the first request
     * @throws SendNotPermittedException  if the first request may no longer be sent
     */
    HttpMessage get(String target)
            throws IOException, HttpProtocolException, ServerRejectedException, SendNotPermittedException {
        boolean first = !sent;
        if (ended) { // this server closes after each page
            reconnect();
        }
        OutputStream out = connection.socket().getOutputStream();
        requirePermission(first);
        HttpWriter.get(out, attempt.worker().address(), target, "Accept: application/geo+json, application/json\r\n");
        int timeoutMillis = (int) Math.max(1, remainingMillis());
        if (!connection.in().await(timeoutMillis)) {
            throw new EOFException("closed before an answer");
        }
        HttpMessage answer = connection.in().answer(timeoutMillis, true);
        requireStatus(answer.status(), first, target);
        ended = !answer.keepAlive();
        return answer;
    }

    private void reconnect() throws IOException {
        connection.close();
        ended = false;
        if (!connect()) {
            throw new AttemptCancelledException();
        }
    }

    private synchronized void requirePermission(boolean first)
            throws AttemptCancelledException, SendNotPermittedException {
        if (cancelledAs != null) {
            throw new AttemptCancelledException();
        }
        if (first && !attempt.checkPermission(gatherer.now(), connection.address()).granted()) {
            throw new SendNotPermittedException();
        }
        sent = true; // from the first byte on the server may have run it
    }

    private static void requireStatus(int status, boolean first, String target)
            throws ServerRejectedException, HttpProtocolException {
        if (first && (status == 429 || status == 503)) {
            throw new ServerRejectedException(status);
        }
        if (status != 200 && !(status == 404 && target.matches("[^?]*/items/[^/]+"))) {
            throw new HttpProtocolException(502, "status " + status);
        }
    }

    /** Whether another attempt may use the connection after this one was served. */
    boolean reusable() {
        return !ended;
    }

    /** Gives the connection back, idle from now on. */
    PooledConnection release() {
        return new PooledConnection(connection.socket(), connection.in(), connection.address(), System.nanoTime());
    }

    /** Closes it, where it was opened. */
    void close() {
        if (connection != null) {
            connection.close();
        }
    }
}
