package wallmoor.operator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import wallmoor.bans.BanFileCodec;
import wallmoor.bans.BanRegister;
import wallmoor.http.ConnectionTimeouts;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.Server;

/**
 * The address that operators call: {@code GET /_ready}, {@code GET /_vars}, {@code PUT /_workers/detach} and
 * {@code PUT /_workers/attach} with a worker's id as body. Each connection serves one call. 2xx means success; the text
 * of a 4xx or 5xx answer says what to do. The server has its own threads and never waits for queries; a ban is in
 * effect when its call is answered.
 */
public final class OperatorServer {
    private static final long CLOSE_TIMEOUT_MILLIS = 500;
    private static final String READY_PATH = "/_ready";
    private static final String METRICS_PATH = "/_vars";
    private static final String BAN_PATH = "/_workers/detach";
    private static final String UNBAN_PATH = "/_workers/attach";
    private static final String TEXT_HEADER = "Content-Type: text/plain; charset=utf-8\r\n";
    /** The paths and their methods. */
    private static final Map<String, String> METHODS = Map.of(READY_PATH, "GET", METRICS_PATH, "GET", BAN_PATH, "PUT",
            UNBAN_PATH, "PUT");
    private static final String CALLS = "the calls are GET /_ready, GET /_vars, PUT /_workers/detach and"
            + " PUT /_workers/attach, the last two with a worker's id as body";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int UNAVAILABLE = 503;

    private final Logger log = LoggerFactory.getLogger(OperatorServer.class);
    private final OperatorControls controls;
    private final BanRegister register;
    private final BanSynchronizer synchronizer;
    private final Server server;

    /**
     * Binds the address, reads the file and bans the workers listed in it; {@link #start} begins to answer.
     *
     * @param maxCallers the maximum number of simultaneous callers, each served by a thread
     * @param file       stores the bans, or null if they end with the process
     * @param clock      microseconds of Unix time
     * @throws IOException if the address can't be bound
     */
    public OperatorServer(InetSocketAddress at, int maxCallers, OperatorControls controls, BanRegister register,
            BanFile file, LongSupplier clock) throws IOException {
        this.controls = controls;
        this.register = register;
        server = new Server("operator", at, maxCallers, maxCallers, ConnectionTimeouts.OPERATORS, this::handle,
                log::info);
        server.closeAfterAnswers(); // so that each answer closes its connection
        synchronizer = new BanSynchronizer(controls, register, file, clock);
    }

    /** Begins to answer calls and to watch the file. */
    public void start() {
        synchronizer.start();
        server.start();
    }

    /** Accepts no more calls; those in progress are answered within half a second. */
    public void close() {
        try {
            server.finish(CLOSE_TIMEOUT_MILLIS);
            synchronizer.close();
        } catch (IOException e) {
            log.info("operators' address not closed, it ends with the process: error={}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        String target = request.target();
        String method = METHODS.get(target);
        if (method == null) {
            throw new HttpProtocolException(NOT_FOUND, "nothing at this path: " + CALLS);
        }
        if (!method.equals(request.method())) {
            answer(exchange, METHOD_NOT_ALLOWED, "Allow: " + method + "\r\n",
                    "call it by " + method + ": " + CALLS + "\n");
            return;
        }
        String body = new String(request.body().buffer(), request.body().from(), request.body().length(),
                StandardCharsets.UTF_8).strip();
        if (method.equals("GET") && !body.isEmpty()) {
            throw new HttpProtocolException(BAD_REQUEST, "this call takes no body: send it without one");
        }
        switch (target) {
            case READY_PATH -> answerReady(exchange);
            case METRICS_PATH -> answer(exchange, OK, "", controls.metricsText());
            default -> setBanned(exchange, body, target.equals(BAN_PATH));
        }
    }

    private void answerReady(HttpExchange exchange) throws IOException {
        boolean ready = controls.isReady();
        answer(exchange, ready ? OK : UNAVAILABLE, "", ready ? "ready\n" : "not ready\n");
    }

    private void setBanned(HttpExchange exchange, String id, boolean banned)
            throws IOException, HttpProtocolException, InterruptedException {
        if (!BanFileCodec.isWorkerId(id)) {
            throw new HttpProtocolException(BAD_REQUEST, "send one worker's id as the body, as the node list has it:"
                    + " 1 to " + BanFileCodec.MAX_ID_LENGTH + " visible ASCII characters without blanks");
        }
        // a worker with a mark was listed, perhaps before this process started
        if (!controls.isKnownWorker(id) && !register.hasMark(id)) {
            throw new HttpProtocolException(NOT_FOUND, "no worker " + id + " is or was listed: look for its id in the"
                    + " node list; nothing was changed");
        }
        boolean changed = synchronizer.setBanned(id, banned);
        if (changed) {
            log.info(banned ? "worker banned by call: worker={}" : "worker ban lifted by call: worker={}", id);
        }
        answer(exchange, OK, "", id + (banned ? " is left out" : " is put back") + (changed ? "\n" : ", as before\n"));
    }

    private static void answer(HttpExchange exchange, int status, String headers, String text) throws IOException {
        exchange.answer(status, TEXT_HEADER + headers, text.getBytes(StandardCharsets.UTF_8));
    }
}
