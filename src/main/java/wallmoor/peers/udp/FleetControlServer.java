package wallmoor.peers.udp;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import wallmoor.peers.GroupView;
import wallmoor.peers.MemberEvidence;

/**
 * Tells what this member holds of the group to who asks on this machine: one line asks, {@code members} or
 * {@code explain NAME}; JSON objects answer, one a line, and the connection ends. It only tells and changes nothing.
 * One thread takes them one after another, each has a second for its line.
 */
public final class FleetControlServer implements AutoCloseable {
    private static final int MILLIS = 1_000;
    private static final int MOST_LINE = 256;
    private static final int BACKLOG = 16;
    private static final long MICROS = 1000;

    private final SequentialAcceptor server;
    private final String self;
    private final GroupTransport group;
    private final JsonFactory json = new JsonFactory();

    /** Listens at an address of loopback; {@link #start} begins to answer. */
    public FleetControlServer(InetSocketAddress listen, String self, GroupTransport group) throws IOException {
        this.self = self;
        this.group = group;
        server = new SequentialAcceptor(listen, BACKLOG);
    }

    /** Begins to answer. */
    public void start() {
        server.start("peers-control", asker -> {
            asker.setSoTimeout(MILLIS);
            answer(line(asker), asker.getOutputStream());
        }, () -> {}); // who asks and does not go on gets no answer; there is nobody to tell
    }

    private static String line(Socket from) throws IOException {
        var line = new StringBuilder();
        long until = System.nanoTime() + MILLIS * 1_000_000L;
        for (int c = from.getInputStream().read(); c != '\n'; c = from.getInputStream().read()) {
            if (c < 0 || line.length() >= MOST_LINE || System.nanoTime() > until) {
                throw new IOException("no line");
            }
            line.append((char) c);
        }
        return line.toString().trim();
    }

    private void answer(String asked, OutputStream to) throws IOException {
        try (JsonGenerator out = json.createGenerator(to)) {
            out.setRootValueSeparator(new com.fasterxml.jackson.core.io.SerializedString("\n"));
            String[] words = asked.split(" +", 2);
            if (words[0].equals("members") && words.length == 1) {
                members(out);
            } else if (words[0].equals("explain") && words.length == 2) {
                explain(out, words[1]);
            } else {
                fault(out, "asks neither members nor explain NAME");
            }
        }
        to.write("\n".getBytes(StandardCharsets.US_ASCII));
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
            fault(out, "knows no member " + name);
            return;
        }
        out.writeStartObject();
        member(out, e.name(), e.address(), e.incarnation(), e.state(), e.since());
        out.writeNumberField("witnesses", e.witnesses());
        out.writeNumberField("needed", e.cutThreshold());
        if (e.silentMicros() >= 0) {
            out.writeNumberField("unheard_ms", e.silentMicros() / MICROS);
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
        out.writeNumberField("for_ms", (GroupTransport.nowMicros() - since) / MICROS);
    }

    private static void fault(JsonGenerator out, String why) throws IOException {
        out.writeStartObject();
        out.writeStringField("fault", why);
        out.writeEndObject();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            // it listens no more either way
        }
    }
}
