package wallmoor.consensus;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeoutException;
import wallmoor.rules.EffectiveRule;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.VersionChain;

/** Writes the responses of the {@code rules} control port to {@code show}, {@code explain} and {@code history}. */
final class RulesReport {
    private static final long HISTORY_TIMEOUT_MILLIS = 5_000;
    private static final long MICROS_PER_MILLI = 1_000;

    private final String self;
    private final ConsensusService consensus;

    RulesReport(String self, ConsensusService consensus) {
        this.self = self;
        this.consensus = consensus;
    }

    /**
     * Writes the state of one document or, if {@code only} is null, of each known document.
     *
     * @param knownVersion the version whose body the requester already has, or 0. That body, which may have half a
     *   megabyte, is omitted.
     */
    void show(JsonGenerator out, String only, long knownVersion) throws IOException {
        ConsensusStatus status = consensus.status();
        boolean found = false;
        for (VersionChain chain : status.known()) {
            if (only == null || chain.name().equals(only)) {
                List<RuleDocument> documents = chain.documents();
                show(out, status, chain.name(), documents.get(documents.size() - 1), knownVersion);
                found = true;
            }
        }
        if (only != null && !found) {
            show(out, status, only, null, knownVersion);
        }
    }

    private void show(JsonGenerator out, ConsensusStatus status, String name, RuleDocument latest, long knownVersion)
            throws IOException {
        long now = ConsensusService.nowMicros();
        long leaseExpiry = status.snapshot().leaseExpiry();
        EffectiveRule rule = status.snapshot().effectiveRule(now, name);
        ConsensusStatus.EffectiveSince since = status.effectiveSince().get(name);
        boolean leased = now < leaseExpiry;
        boolean fallback = rule.basis() == EffectiveRule.Basis.FALLBACK;
        out.writeStartObject();
        out.writeStringField("name", name);
        out.writeNumberField("version", latest == null ? 0 : latest.version());
        out.writeStringField("hash", latest == null ? "" : latest.hash());
        out.writeNumberField("acting", leased && !fallback ? rule.activeVersion() : 0);
        out.writeBooleanField("fallback", fallback);
        out.writeNumberField("lease_ms", remainingMillis(now, leaseExpiry));
        out.writeStringField("leader", status.leader());
        out.writeStringField("since", since == null ? "" : Instant.ofEpochMilli(since.atMillis()).toString());
        out.writeStringField("basis", rule.basis().toString().toLowerCase(Locale.ROOT));
        out.writeNumberField("from", rule.activeVersion());
        out.writeNumberField("to", rule.latestVersion());
        out.writeNumberField("now_us", now);
        out.writeNumberField("until_us", leased ? leaseExpiry : now);
        out.writeNumberField("term_ms", consensus.termMillis());
        boolean hasBody = knownVersion != 0 && rule.basis() == EffectiveRule.Basis.VERSION
                && rule.activeVersion() == knownVersion;
        if (!hasBody) {
            out.writeStringField("body", rule.body().toJson());
        }
        if (status.unreadable().containsKey(name)) {
            out.writeStringField("unreadable", status.unreadable().get(name));
        }
        if (!status.leaseDenial().isEmpty()) {
            out.writeStringField("denied", status.leaseDenial());
        }
        out.writeEndObject();
    }

    private static long remainingMillis(long now, long leaseExpiry) {
        return now < leaseExpiry ? (leaseExpiry - now) / MICROS_PER_MILLI : 0;
    }

    /** Writes the voter state and the lease of this gatherer, and each known version. */
    void explain(JsonGenerator out) throws IOException {
        ConsensusStatus status = consensus.status();
        out.writeStartObject();
        out.writeStringField("self", self);
        out.writeStringField("voter", status.voterState().isEmpty() ? "no" : status.voterState());
        out.writeStringField("leader", status.leader());
        out.writeNumberField("lease_ms",
                remainingMillis(ConsensusService.nowMicros(), status.snapshot().leaseExpiry()));
        out.writeStringField("denied", status.leaseDenial());
        out.writeStringField("counters", consensus.counters());
        out.writeEndObject();
        for (VersionChain chain : status.known()) {
            for (RuleDocument document : chain.documents()) {
                out.writeStartObject();
                writeVersion(out, document, chain.activeVersion());
                out.writeStringField("fallback", document.fallback());
                out.writeStringField("unreadable", status.unreadable().getOrDefault(document.name(), ""));
                out.writeEndObject();
            }
        }
    }

    /** Writes the versions that the voting members retain, and the recently rejected proposals. */
    void history(JsonGenerator out, String name) throws IOException, TimeoutException, InterruptedException {
        ConsensusService.RuleHistory history = consensus.history(name, HISTORY_TIMEOUT_MILLIS);
        for (RuleDocument document : history.versions()) {
            out.writeStartObject();
            writeVersion(out, document, history.activeVersion());
            out.writeEndObject();
        }
        for (String rejected : history.rejected()) {
            out.writeStartObject();
            out.writeStringField("refused", rejected);
            out.writeEndObject();
        }
    }

    private static void writeVersion(JsonGenerator out, RuleDocument document, long activeVersion) throws IOException {
        out.writeStringField("name", document.name());
        out.writeNumberField("version", document.version());
        out.writeStringField("state", state(document.version(), activeVersion));
        out.writeNumberField("parent", document.parentVersion());
        out.writeStringField("author", document.author());
        out.writeStringField("hash", document.hash());
        out.writeStringField("body", document.body());
    }

    private static String state(long version, long activeVersion) {
        if (version == activeVersion) {
            return "acts";
        }
        return version < activeVersion ? "was" : "accepted";
    }
}
