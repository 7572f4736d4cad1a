package wallmoor.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** One request and the one answer to it. */
public final class HttpExchange {
    private final Server server;
    private final Connection connection;
    private final boolean withBody;
    private volatile boolean keepAlive;
    private boolean isWork = true;
    private boolean answered;
    private boolean clientGone;
    private boolean over;
    private Runnable onClientGone;

    /** An exchange on this connection; the request is null where it could not be read. */
    HttpExchange(Server server, Connection connection, HttpMessage request) {
        this.server = server;
        this.connection = connection;
        withBody = request == null || !request.method().equals("HEAD");
        keepAlive = request != null && request.keepAlive() && !server.leaving();
    }

    static byte[] plain(String text) {
        return (text + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Has the front answer; whether the connection may carry another request. */
    boolean handle(HttpMessage request) {
        try {
            server.handler().handle(request, this);
        } catch (HttpProtocolException e) {
            failed(e.status(), e.getMessage());
        } catch (IOException e) {
            keepAlive = false;
        } catch (RuntimeException | InterruptedException e) {
            server.requestFailed(e);
            failed(500, "internal error");
        }
        synchronized (this) {
            over = true;
            keepAlive &= answered; // whatever went wrong, the client is not left waiting
        }
        return keepAlive;
    }

    private void failed(int status, String why) {
        try {
            answer(status, "", plain(why));
        } catch (IOException e) {
            keepAlive = false;
        }
    }

    /** Writes the answer; a second one is a fault of the caller's. */
    public void answer(int status, String headers, byte[] body) throws IOException {
        synchronized (this) {
            if (answered) {
                throw new IllegalStateException("answered twice");
            }
            answered = true;
        }
        keepAlive &= !server.leaving();
        try {
            connection.write(HttpWriter.bytes(status, headers, body, withBody, keepAlive));
        } catch (IOException e) {
            keepAlive = false;
            throw e;
        }
    }

    /** This request was no client's work: a health check, or a path that there is not. */
    public void markNotClientWork() {
        isWork = false;
    }

    boolean wasWork() {
        return isWork;
    }

    /** Whether the client has left: nothing need be begun for it. */
    public synchronized boolean hasClientDisconnected() {
        return clientGone;
    }

    /** Runs this once if the client leaves before the answer; at once if it has left. */
    public void whenClientDisconnects(Runnable action) {
        synchronized (this) {
            if (!clientGone) {
                onClientGone = action;
                return;
            }
        }
        action.run();
    }

    void clientGone() {
        Runnable action;
        synchronized (this) {
            clientGone = true;
            action = over ? null : onClientGone;
            keepAlive = false;
        }
        if (action != null) {
            action.run();
        }
    }
}
