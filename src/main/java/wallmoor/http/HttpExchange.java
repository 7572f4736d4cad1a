package wallmoor.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** A request and the single answer to it. */
public final class HttpExchange {
    private final Server server;
    private final Connection connection;
    private final boolean withBody;
    private volatile boolean keepAlive;
    private boolean isClientWork = true;
    private boolean answered;
    private boolean clientDisconnected;
    private boolean handled;
    private Runnable disconnectAction;

    /** Creates an exchange on a connection; the request is null if it could not be read. */
    HttpExchange(Server server, Connection connection, HttpMessage request) {
        this.server = server;
        this.connection = connection;
        withBody = request == null || !request.method().equals("HEAD");
        keepAlive = request != null && request.keepAlive() && !server.isClosingAfterAnswers();
    }

    static byte[] plainText(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Passes the request to the handler. Returns whether the connection may carry another request. */
    boolean handle(HttpMessage request) {
        try {
            server.handler().handle(request, this);
        } catch (HttpProtocolException e) {
            answerError(e.status(), e.getMessage());
        } catch (IOException e) {
            keepAlive = false;
        } catch (RuntimeException | InterruptedException e) {
            server.requestFailed(e);
            answerError(500, "internal error");
        }
        synchronized (this) {
            handled = true;
            keepAlive &= answered; // without an answer, the connection is closed so that the client does not wait
        }
        return keepAlive;
    }

    private void answerError(int status, String message) {
        try {
            answer(status, "", plainText(message));
        } catch (IOException e) {
            keepAlive = false;
        }
    }

    /**
     * Writes the answer.
     *
     * @param headers complete header lines, each with its line end
     * @throws IllegalStateException if the request was already answered
     */
    public void answer(int status, String headers, byte[] body) throws IOException {
        synchronized (this) {
            if (answered) {
                throw new IllegalStateException("the request was already answered");
            }
            answered = true;
        }
        keepAlive &= !server.isClosingAfterAnswers();
        try {
            connection.writer().write(HttpWriter.response(status, headers, body, withBody, keepAlive));
        } catch (IOException e) {
            keepAlive = false;
            throw e;
        }
    }

    /** Marks a request that is no client work, such as a health check or a request for an unknown path. */
    public void markNotClientWork() {
        isClientWork = false;
    }

    boolean wasClientWork() {
        return isClientWork;
    }

    /** Returns whether the client has disconnected, so that its request need not be started. */
    public synchronized boolean hasClientDisconnected() {
        return clientDisconnected;
    }

    /**
     * Runs an action once if the client disconnects before the request has been handled, or at once if it already has.
     */
    public void whenClientDisconnects(Runnable action) {
        synchronized (this) {
            if (!clientDisconnected) {
                disconnectAction = action;
                return;
            }
        }
        action.run();
    }

    void onClientDisconnect() {
        Runnable action;
        synchronized (this) {
            clientDisconnected = true;
            action = handled ? null : disconnectAction;
            keepAlive = false;
        }
        if (action != null) {
            action.run();
        }
    }
}
