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
 * The control port of {@code fleet}: one line asks, {@code members} or {@code explain NAME}, and JSON objects answer
 * what this member knows of the group. It changes nothing.
 */
public final class FleetControlServer implements AutoCloseable {
    private static final RequestLimits LIMITS = new RequestLimits(257, 1_000);
    private static final long MICROS_PER_MILLI = 1_000;

    private final ControlServer server;
    private final String self;
    private final GroupTransport group;

    /** Listens at an address of loopback; {@link #start} begins to answer. */
    public FleetControlServer(InetSocketAddress listen, String self, GroupTransport group) throws IOException {
        this.self = self;
        this.group = group;
        server = ControlServer.sequential(listen, "peers-control", LIMITS);
    }

    /** Begins to answer. */
    public void start() {
        server.start(this::handle);
    }

    /** The answer's last object ends without a line end, as it did in earlier versions. */
    private void handle(byte[] request, OutputStream response) throws IOException {
        String text = new String(request, StandardCharsets.ISO_8859_1);
        String[] words = text.substring(0, text.indexOf('\n')).trim().split(" +", 2);
        try (JsonGenerator out = JsonLines.generator(response)) {
            if (words[0].equals("members") && words.length == 1) {
                members(out);
            } else if (words[0].equals("explain") && words.length == 2) {
                explain(out, words[1]);
            } else {
                JsonLines.writeFault(out, "asks neither members nor explain NAME");
            }
        }
    }

    private void members(JsonGenerator out) throws IOException {
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
        for (GroupView.Member m : view.members()) {
            out.writeStartObject();
            member(out, m.name(), m.address(), m.incarnation(), m.state(), m.since());
            out.writeArrayFieldStart("doubted_by");
            for (String by : m.suspectedBy()) {
                out.writeString(by);
            }
            out.writeEndArray();
            out.writeEndObject();
        }
    }

    private void explain(JsonGenerator out, String name) throws IOException {
        MemberEvidence e = group.explain(name);
        if (e == null) {
            JsonLines.writeFault(out, "knows no member " + name);
            return;
        }
        out.writeStartObject();
        member(out, e.name(), e.address(), e.incarnation(), e.state(), e.since());
        out.writeNumberField("witnesses", e.witnesses());
        out.writeNumberField("needed", e.cutThreshold());
        if (e.silentMicros() >= 0) {
            out.writeNumberField("unheard_ms", e.silentMicros() / MICROS_PER_MILLI);
        }
        out.writeEndObject();
        for (MemberEvidence.ObserverReport v : e.reports()) {
            out.writeStartObject();
            out.writeStringField("observer", v.name());
            out.writeBooleanField("observes", v.isObserver());
            out.writeBooleanField("witness", v.isWitness());
            out.writeStringField("said", v.reported().toString().toLowerCase(Locale.ROOT));
            out.writeEndObject();
        }
    }

    private static void member(JsonGenerator out, String name, String address, long incarnation,
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
