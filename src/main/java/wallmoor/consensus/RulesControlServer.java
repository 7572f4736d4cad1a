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
 * The control port of {@code rules}: one line of JSON asks, JSON objects answer. Whoever can connect from this machine
 * may propose; who did stands in the version as its author.
 */
public final class RulesControlServer implements AutoCloseable {
    /** A body and its fallback at their largest, each character escaped, fit. */
    private static final RequestLimits LIMITS = new RequestLimits(8 << 20, 2_000);
    private static final int MAX_CONCURRENT = 8;
    private static final String UNKNOWN_REQUEST = "asks for nothing that there is";

    private final ControlServer server;
    private final RulesReport report;
    private final ProposeRequestHandler proposals;

    /** Listens at an address of loopback; {@link #start} begins to answer. */
    public RulesControlServer(InetSocketAddress listen, String self, ConsensusService consensus) throws IOException {
        report = new RulesReport(self, consensus);
        proposals = new ProposeRequestHandler(consensus);
        server = ControlServer.concurrent(listen, "rules-listen", LIMITS, "rules-asked", MAX_CONCURRENT);
    }

    /** Begins to answer. */
    public void start() {
        server.start(this::handle);
    }

    private void handle(byte[] line, OutputStream response) throws IOException, InterruptedException {
        Json.Obj request;
        try {
            request = Json.object(line, 0, line.length);
        } catch (Json.Malformed e) {
            return; // who asks what is no JSON gets no answer
        }
        try (JsonGenerator out = JsonLines.generator(response)) {
            answer(request, out);
        }
        // an answer without an object in it ends with a line too: what is empty is not what never came
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
            JsonLines.writeFault(out, "refuses it: " + e.getMessage());
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
