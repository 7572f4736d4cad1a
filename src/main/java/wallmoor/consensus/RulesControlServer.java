package wallmoor.consensus;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeoutException;
import wallmoor.http.Threads;
import wallmoor.json.Json;
import wallmoor.rules.DocumentSchema;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.InvalidRuleException;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;
import wallmoor.rules.VersionChain;

/**
 * Answers the command line on this machine: one line of JSON asks, JSON objects answer, one a line, and the connection
 * ends. Whoever can connect from this machine may propose; who did stands in the version as its author.
 */
public final class RulesControlServer implements AutoCloseable {
    /** A body and its fallback at their largest, each character escaped, fit. */
    private static final int MOST_LINE = 8 << 20;
    private static final int MILLIS = 2_000;
    private static final int BACKLOG = 16;
    private static final int AT_ONCE = 8;
    private static final long HISTORY_MILLIS = 5_000;
    private static final int MOST_WAIT_MILLIS = 120_000;
    private static final long MICROS = 1_000;

    private final ServerSocket server = new ServerSocket();
    private final ThreadPoolExecutor answering = Threads.pool("rules-asked", AT_ONCE);
    private final String self;
    private final ConsensusService agreement;
    /** An answer without an object in it ends with a line too: what is empty is not what never came. */
    private final JsonFactory json = new JsonFactory().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);

    /** Listens at an address of loopback; {@link #start} begins to answer. */
    public RulesControlServer(InetSocketAddress listen, String self, ConsensusService agreement) throws IOException {
        this.self = self;
        this.agreement = agreement;
        server.setReuseAddress(true);
        server.bind(listen, BACKLOG);
    }

    /** Begins to answer. */
    public void start() {
        Threads.start("rules-listen", () -> {
            while (!server.isClosed()) {
                try {
                    Socket asker = server.accept();
                    try {
                        answering.execute(() -> take(asker));
                    } catch (RejectedExecutionException e) {
                        asker.close(); // eight wait already
                    }
                } catch (IOException e) {
                    // who asks and does not go on gets no answer; there is nobody to tell
                }
            }
        });
    }

    private void take(Socket asker) {
        try (asker) {
            asker.setSoTimeout(MILLIS);
            Json.Obj asked = line(asker);
            OutputStream to = asker.getOutputStream();
            try (JsonGenerator out = json.createGenerator(to)) {
                out.setRootValueSeparator(new SerializedString("\n"));
                answer(asked, out);
            }
            to.write('\n');
        } catch (IOException | Json.Malformed e) {
            // the same
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Json.Obj line(Socket from) throws IOException, Json.Malformed {
        var line = new ByteArrayOutputStream();
        byte[] piece = new byte[4096];
        long until = System.nanoTime() + MILLIS * 1_000_000L;
        while (true) {
            int n = from.getInputStream().read(piece);
            if (n < 0 || line.size() + n > MOST_LINE || System.nanoTime() > until) {
                throw new IOException("no line");
            }
            line.write(piece, 0, n);
            if (piece[n - 1] == '\n') {
                return Json.object(line.toByteArray(), 0, line.size());
            }
        }
    }

    private void answer(Json.Obj asked, JsonGenerator out) throws IOException, InterruptedException {
        String what = String.valueOf(asked.text("do"));
        String name = asked.text("name");
        try {
            if (what.equals("show")) {
                show(out, name, (long) asked.number("known", 0));
            } else if (what.equals("explain")) {
                explain(out);
            } else if (name == null) {
                fault(out, "asks for nothing that there is");
            } else if (what.equals("history")) {
                history(out, name);
            } else if (what.equals("propose") || what.equals("rollback")) {
                propose(out, asked, name, what.equals("rollback"));
            } else {
                fault(out, "asks for nothing that there is");
            }
        } catch (TimeoutException e) {
            out.writeStartObject();
            out.writeStringField("unknown", e.getMessage());
            out.writeEndObject();
        } catch (InvalidRuleException e) {
            fault(out, "refuses it: " + e.getMessage());
        }
    }

    private void show(JsonGenerator out, String only, long told) throws IOException {
        ConsensusStatus seen = agreement.status();
        for (VersionChain c : seen.known()) {
            if (only == null || c.name().equals(only)) {
                show(out, seen, c.name(), c.documents().get(c.documents().size() - 1), told);
            }
        }
        if (only != null && seen.known().stream().noneMatch(c -> c.name().equals(only))) {
            show(out, seen, only, null, told);
        }
    }

    /** A body that the asker was told already, as it says, is left out: half a megabyte each time that one looks. */
    private void show(JsonGenerator out, ConsensusStatus seen, String name, RuleDocument last, long told)
            throws IOException {
        long now = ConsensusService.now();
        long until = seen.snapshot().leaseExpiry();
        EffectiveRule act = seen.snapshot().effectiveRule(now, name);
        ConsensusStatus.EffectiveSince since = seen.since().get(name);
        boolean leased = now < until;
        out.writeStartObject();
        out.writeStringField("name", name);
        out.writeNumberField("version", last == null ? 0 : last.version());
        out.writeStringField("hash", last == null ? "" : last.hash());
        out.writeNumberField("acting", leased && act.basis() != EffectiveRule.Basis.FALLBACK ? act.activeVersion() : 0);
        out.writeBooleanField("fallback", act.basis() == EffectiveRule.Basis.FALLBACK);
        out.writeNumberField("lease_ms", leased ? (until - now) / MICROS : 0);
        out.writeStringField("leader", seen.leader());
        out.writeStringField("since", since == null ? "" : Instant.ofEpochMilli(since.atMillis()).toString());
        out.writeStringField("basis", act.basis().toString().toLowerCase(Locale.ROOT));
        out.writeNumberField("from", act.activeVersion());
        out.writeNumberField("to", act.latestVersion());
        out.writeNumberField("now_us", now);
        out.writeNumberField("until_us", leased ? until : now);
        out.writeNumberField("term_ms", agreement.termMillis());
        if (told == 0 || act.basis() != EffectiveRule.Basis.VERSION || act.activeVersion() != told) {
            out.writeStringField("body", act.body().toJson());
        }
        if (seen.unreadable().containsKey(name)) {
            out.writeStringField("unreadable", seen.unreadable().get(name));
        }
        if (!seen.leaseDenial().isEmpty()) {
            out.writeStringField("denied", seen.leaseDenial());
        }
        out.writeEndObject();
    }

    private void explain(JsonGenerator out) throws IOException {
        ConsensusStatus seen = agreement.status();
        long now = ConsensusService.now();
        out.writeStartObject();
        out.writeStringField("self", self);
        out.writeStringField("voter", seen.voterState().isEmpty() ? "no" : seen.voterState());
        out.writeStringField("leader", seen.leader());
        long until = seen.snapshot().leaseExpiry();
        out.writeNumberField("lease_ms", now < until ? (until - now) / MICROS : 0);
        out.writeStringField("denied", seen.leaseDenial());
        out.writeStringField("counters", agreement.counters());
        out.writeEndObject();
        for (VersionChain c : seen.known()) {
            for (RuleDocument d : c.documents()) {
                out.writeStartObject();
                version(out, d, c.activeVersion());
                out.writeStringField("fallback", d.fallback());
                out.writeStringField("unreadable", seen.unreadable().getOrDefault(d.name(), ""));
                out.writeEndObject();
            }
        }
    }

    private static void version(JsonGenerator out, RuleDocument d, long acting) throws IOException {
        out.writeStringField("name", d.name());
        out.writeNumberField("version", d.version());
        out.writeStringField("state", d.version() == acting ? "acts" : d.version() < acting ? "was" : "accepted");
        out.writeNumberField("parent", d.parentVersion());
        out.writeStringField("author", d.author());
        out.writeStringField("hash", d.hash());
        out.writeStringField("body", d.body());
    }

    private void history(JsonGenerator out, String name) throws IOException, TimeoutException, InterruptedException {
        ConsensusService.RuleHistory told = agreement.history(name, HISTORY_MILLIS);
        for (RuleDocument d : told.versions()) {
            out.writeStartObject();
            version(out, d, told.acting());
            out.writeEndObject();
        }
        for (String r : told.refused()) {
            out.writeStartObject();
            out.writeStringField("refused", r);
            out.writeEndObject();
        }
    }

    private void propose(JsonGenerator out, Json.Obj asked, String name, boolean back)
            throws IOException, TimeoutException, InterruptedException, InvalidRuleException {
        long wait = (long) Math.max(1, Math.min(MOST_WAIT_MILLIS, asked.number("wait_ms", MOST_WAIT_MILLIS)));
        long until = System.nanoTime() + wait * MICROS * MICROS;
        List<RuleDocument> versions = agreement.history(name, wait).versions();
        RuleDocument last = versions.isEmpty() ? null : versions.get(versions.size() - 1);
        String author = String.valueOf(asked.text("author"));
        long number = (long) asked.number("number", 0);
        RuleProposal proposal;
        if (back) {
            RuleDocument to = versions.stream().filter(d -> d.version() == number).findFirst().orElse(null);
            if (to == null) {
                fault(out,
                        "does not keep " + name + " " + number + ": look at its history, and propose its body again");
                return;
            }
            proposal = RuleProposal.rollback(last, to, author);
        } else {
            DocumentSchema kind = DocumentSchemas.all().get(name);
            if (kind == null) {
                throw new InvalidRuleException("this program has no kind " + name);
            }
            String body = asked.text("body");
            String fallback = asked.text("fallback");
            if (fallback == null) {
                fallback = kind.minimalFallback(kind.parse(String.valueOf(body))).toJson();
            }
            RuleDocument parent = asked.get("number") == null ? last
                    : versions.stream().filter(d -> d.version() == number).findFirst().orElse(null);
            proposal = new RuleProposal(name, parent == null ? number : parent.version(),
                    parent == null ? "" : parent.hash(), author,
                    String.valueOf(body), fallback);
        }
        ConsensusService.ProposalOutcome outcome = agreement.propose(proposal,
                Math.max(1, (until - System.nanoTime()) / (MICROS * MICROS)));
        out.writeStartObject();
        out.writeStringField("name", name);
        out.writeNumberField("version", outcome.number());
        boolean acts = outcome.refused().isEmpty();
        out.writeStringField(acts ? "state" : "refused", acts ? "acts" : outcome.refused());
        out.writeEndObject();
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
        answering.shutdownNow();
    }
}
