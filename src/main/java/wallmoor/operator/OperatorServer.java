package wallmoor.operator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import wallmoor.bans.BanFileCodec;
import wallmoor.bans.BanRegister;
import wallmoor.http.ConnectionTimeouts;
import wallmoor.http.HttpExchange;
import wallmoor.http.HttpMessage;
import wallmoor.http.HttpProtocolException;
import wallmoor.http.Server;

/**
 * The address that operators call: {@code GET /_ready}, {@code GET /_vars}, {@code PUT /_workers/detach} and
 * {@code PUT /_workers/attach} with a worker's id as body. One call a connection; 2xx is a yes, 4xx and 5xx a no whose
 * text says what to do. It has threads of its own and waits for no query; a ban holds when its call is answered.
 */
public final class OperatorServer {
    private static final long FINISH_MILLIS = 500;
    private static final String TEXT = "Content-Type: text/plain; charset=utf-8\r\n";
    /** The calls there are and their methods. */
    private static final Map<String, String> METHODS = Map.of("/_ready", "GET", "/_vars", "GET",
            "/_workers/detach", "PUT", "/_workers/attach", "PUT");
    private static final String CALLS = "the calls are GET /_ready, GET /_vars, PUT /_workers/detach and"
            + " PUT /_workers/attach, the last two with a worker's id as body";

    private final OperatorControls controls;
    private final BanRegister bans;
    private final BanSynchronizer keeper;
    private final Consumer<String> log;
    private final Server server;

    /**
     * Listens, reads the file and has the gatherer leave out who is banned in it; {@link #start} begins to answer.
     *
     * @param most  callers at once, each with a thread that works
     * @param file  keeps the bans, or null where they end with the process
     * @param clock microseconds of Unix time
     * @throws IOException where the address can't be had
     */
    public OperatorServer(InetSocketAddress at, int most, OperatorControls controls, BanRegister bans, BanFile file,
            LongSupplier clock,
            Consumer<String> log) throws IOException {
        this.controls = controls;
        this.bans = bans;
        this.log = log;
        server = new Server("operator", at, most, most, ConnectionTimeouts.OPERATORS, this::handle, log);
        server.leave(); // each answer ends its connection
        keeper = new BanSynchronizer(controls, bans, file, clock, log);
    }

    /** Begins to answer, and to follow the file. */
    public void start() {
        keeper.start();
        server.start();
    }

    /** Takes no more calls; those at work are answered, within half a second. */
    public void close() {
        try {
            server.finish(FINISH_MILLIS);
            keeper.close();
        } catch (IOException e) {
            log.accept("operator address can't be closed: " + e + "; it ends with the process");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void handle(HttpMessage request, HttpExchange exchange)
            throws IOException, HttpProtocolException, InterruptedException {
        String target = request.target();
        String method = METHODS.get(target);
        if (method == null) {
            throw new HttpProtocolException(404, "nothing at this path: " + CALLS);
        }
        if (!method.equals(request.method())) {
            answer(exchange, 405, "Allow: " + method + "\r\n", "call it by " + method + ": " + CALLS + "\n");
            return;
        }
        String body = new String(request.body().buffer(), request.body().from(), request.body().length(),
                StandardCharsets.UTF_8).strip();
        if (method.equals("GET") && !body.isEmpty()) {
            throw new HttpProtocolException(400, "this call takes no body: send it without one");
        }
        switch (target) {
            case "/_ready" -> {
                boolean ready = controls.isReady();
                answer(exchange, ready ? 200 : 503, "", ready ? "ready\n" : "not ready\n");
            }
            case "/_vars" -> answer(exchange, 200, "", controls.metricsText());
            default -> worker(exchange, body, target.equals("/_workers/detach"));
        }
    }

    private void worker(HttpExchange exchange, String id, boolean out)
            throws IOException, HttpProtocolException, InterruptedException {
        if (!BanFileCodec.isWorkerId(id)) {
            throw new HttpProtocolException(400, "send one worker's id as the body, as the node list has it: 1 to "
                    + BanFileCodec.MAX_ID_LENGTH + " visible ASCII characters without blanks");
        }
        // a mark is of a worker that was listed, maybe before this process began
        if (!controls.isKnownWorker(id) && !bans.hasMark(id)) {
            throw new HttpProtocolException(404,
                    "no worker " + id + " is or was listed: look for its id in the node list;"
                            + " nothing was changed");
        }
        boolean changed = keeper.change(id, out);
        if (changed) {
            log.accept("bans: " + id + (out ? " left out" : " put back") + " by a call");
        }
        answer(exchange, 200, "", id + (out ? " is left out" : " is put back") + (changed ? "\n" : ", as before\n"));
    }

    private static void answer(HttpExchange exchange, int status, String headers, String text) throws IOException {
        exchange.answer(status, TEXT + headers, text.getBytes(StandardCharsets.UTF_8));
    }
}
