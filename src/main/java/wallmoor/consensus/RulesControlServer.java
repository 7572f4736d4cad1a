package wallmoor.consensus;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeoutException;
import wallmoor.control.ControlServer;
import wallmoor.control.JsonLines;
import wallmoor.control.RequestLimits;
import wallmoor.json.Json;
import wallmoor.rules.InvalidRuleException;

/**
 * The control port of {@code rules}: a request is one line of JSON, a response consists of JSON objects. Any user who
 * can connect from this machine may propose; the version's author field names the proposer.
 */
public final class RulesControlServer implements AutoCloseable {
    /** A body and its fallback fit at their maximum size with each character escaped. */
    private static final RequestLimits LIMITS = new RequestLimits(8 << 20, 2_000);
    private static final int MAX_CONCURRENT = 8;
    private static final String UNKNOWN_REQUEST = "unknown request, or a request that needs a name";

    private final ControlServer server;
    private final RulesReport report;
    private final ProposeRequestHandler proposals;

    /** Listens on a loopback address; {@link #start} begins to respond. */
    public RulesControlServer(InetSocketAddress listen, String self, ConsensusService consensus) throws IOException {
        report = new RulesReport(self, consensus);
        proposals = new ProposeRequestHandler(consensus);
        server = ControlServer.concurrent(listen, "rules-listen", LIMITS, "rules-asked", MAX_CONCURRENT);
    }

    /** Begins to respond to requests. */
    public void start() {
        server.start(this::handle);
    }

    private void handle(byte[] line, OutputStream response) throws IOException, InterruptedException {
        Json.Obj request;
        try {
            request = Json.object(line, 0, line.length);
        } catch (Json.Malformed e) {
            return; // a request that is not JSON gets no response
        }
        try (JsonGenerator out = JsonLines.generator(response)) {
            answer(request, out);
        }
        // a response without objects also ends with a line end, which distinguishes it from a missing response
        response.write('\n');
    }

    private void answer(Json.Obj request, JsonGenerator out) throws IOException, InterruptedException {
        try {
            dispatch(request, out);
        } catch (TimeoutException e) {
            out.writeStartObject();
            out.writeStringField("unknown", e.getMessage());
            out.writeEndObject();
        } catch (InvalidRuleException e) {
            JsonLines.writeFault(out, "invalid proposal: " + e.getMessage());
        }
    }

    private void dispatch(Json.Obj request, JsonGenerator out)
            throws IOException, InterruptedException, TimeoutException, InvalidRuleException {
        String command = String.valueOf(request.text("do"));
        String name = request.text("name");
        if (command.equals("show")) {
            report.show(out, name, (long) request.number("known", 0));
        } else if (command.equals("explain")) {
            report.explain(out);
        } else if (name == null) {
            JsonLines.writeFault(out, UNKNOWN_REQUEST);
        } else if (command.equals("history")) {
            report.history(out, name);
        } else if (command.equals("propose")) {
            proposals.propose(out, request, name);
        } else if (command.equals("rollback")) {
            proposals.rollBack(out, request, name);
        } else {
            JsonLines.writeFault(out, UNKNOWN_REQUEST);
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
