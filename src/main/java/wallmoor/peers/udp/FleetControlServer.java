package wallmoor.peers.udp;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import wallmoor.control.ControlServer;
import wallmoor.control.JsonLines;
import wallmoor.control.RequestLimits;
import wallmoor.peers.GroupView;
import wallmoor.peers.MemberEvidence;

/**
 * Serves the control port of {@code fleet}. A request is one line, {@code members} or {@code explain NAME}; the
 * response consists of JSON objects that describe the group as this member sees it. Requests are read-only.
 */
public final class FleetControlServer implements AutoCloseable {
    private static final RequestLimits LIMITS = new RequestLimits(257, 1_000);
    private static final long MICROS_PER_MILLI = 1_000;

    private final ControlServer server;
    private final String self;
    private final GroupTransport group;

    /** Binds the control port to a loopback address; {@link #start} begins to serve. */
    public FleetControlServer(InetSocketAddress listen, String self, GroupTransport group) throws IOException {
        this.self = self;
        this.group = group;
        server = ControlServer.sequential(listen, "peers-control", LIMITS);
    }

    /** Starts to serve requests. */
    public void start() {
        server.start(this::handle);
    }

    /** Handles a request. The last object of the response has no line end, for compatibility with earlier versions. */
    private void handle(byte[] request, OutputStream response) throws IOException {
        String text = new String(request, StandardCharsets.ISO_8859_1);
        String command = text.substring(0, text.indexOf('\n')).trim();
        String[] words = command.split(" +", 2);
        try (JsonGenerator out = JsonLines.generator(response)) {
            if (words[0].equals("members") && words.length == 1) {
                writeMembers(out);
            } else if (words[0].equals("explain") && words.length == 2) {
                writeEvidence(out, words[1]);
            } else {
                JsonLines.writeFault(out, "unknown command \"" + command + "\": expected members or explain NAME");
            }
        }
    }

    private void writeMembers(JsonGenerator out) throws IOException {
        GroupView view = group.view();
        out.writeStartObject();
        out.writeStringField("self", self);
        out.writeNumberField("version", view.version());
        out.writeBooleanField("quorum", view.hasQuorum());
        out.writeStringField("side", view.side().toString());
        out.writeNumberField("reachable", view.reachable());
        out.writeNumberField("size", view.configuredSize());
        out.writeObjectFieldStart("counters");
        for (var counter : group.counters().entrySet()) {
            out.writeNumberField(counter.getKey(), counter.getValue());
        }
        out.writeEndObject();
        out.writeEndObject();
        for (GroupView.Member member : view.members()) {
            out.writeStartObject();
            writeMember(out, member.name(), member.address(), member.incarnation(), member.state(), member.since());
            out.writeArrayFieldStart("doubted_by");
            for (String observer : member.suspectedBy()) {
                out.writeString(observer);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private void writeEvidence(JsonGenerator out, String name) throws IOException {
        MemberEvidence evidence = group.explain(name);
        if (evidence == null) {
            JsonLines.writeFault(out, "member \"" + name + "\" is unknown in the group");
            return;
        }
        out.writeStartObject();
        writeMember(out, evidence.name(), evidence.address(), evidence.incarnation(), evidence.state(),
                evidence.since());
        out.writeNumberField("witnesses", evidence.witnesses());
        out.writeNumberField("needed", evidence.cutThreshold());
        if (evidence.silentMicros() >= 0) {
            out.writeNumberField("unheard_ms", evidence.silentMicros() / MICROS_PER_MILLI);
        }
        out.writeEndObject();
        for (MemberEvidence.ObserverReport report : evidence.reports()) {
            out.writeStartObject();
            out.writeStringField("observer", report.name());
            out.writeBooleanField("observes", report.isObserver());
            out.writeBooleanField("witness", report.isWitness());
            out.writeStringField("said", report.reported().toString().toLowerCase(Locale.ROOT));
            out.writeEndObject();
        }
    }

    /** Writes the fields that both responses have for a member. */
    private static void writeMember(JsonGenerator out, String name, String address, long incarnation,
            GroupView.MemberState state,
            long since)
            throws IOException {
        out.writeStringField("member", name);
        out.writeStringField("address", address);
        out.writeNumberField("incarnation", incarnation);
        out.writeStringField("state", state.toString().toLowerCase(Locale.ROOT));
        out.writeNumberField("for_ms", (GroupTransport.nowMicros() - since) / MICROS_PER_MILLI);
    }

    @Override
    public void close() {
        server.close();
    }
}
