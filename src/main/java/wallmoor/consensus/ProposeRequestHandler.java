package wallmoor.consensus;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import wallmoor.control.JsonLines;
import wallmoor.json.Json;
import wallmoor.rules.DocumentSchema;
import wallmoor.rules.DocumentSchemas;
import wallmoor.rules.InvalidRuleException;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleProposal;

/**
 * Handles the requests of the {@code rules} control port that change a document: {@code propose} and {@code rollback}.
 */
final class ProposeRequestHandler {
    private static final int MAX_WAIT_MILLIS = 120_000;

    private final ConsensusService consensus;

    ProposeRequestHandler(ConsensusService consensus) {
        this.consensus = consensus;
    }

    /** Proposes the body of the request as the next version, and writes the outcome. */
    void propose(JsonGenerator out, Json.Obj request, String name)
            throws IOException, TimeoutException, InterruptedException, InvalidRuleException {
        long deadline = deadlineNanos(request);
        List<RuleDocument> versions = consensus.history(name, waitMillis(request)).versions();
        propose(out, proposal(request, name, versions), deadline);
    }

    /** Proposes an older version's body as the next version, and writes the outcome. */
    void rollBack(JsonGenerator out, Json.Obj request, String name)
            throws IOException, TimeoutException, InterruptedException {
        long deadline = deadlineNanos(request);
        List<RuleDocument> versions = consensus.history(name, waitMillis(request)).versions();
        long version = (long) request.number("number", 0);
        RuleDocument target = find(versions, version);
        if (target == null) {
            JsonLines.writeFault(out,
                    "version " + version + " of " + name
                            + " is not retained: see the history, and propose its body again");
            return;
        }
        propose(out, RuleProposal.rollback(latest(versions), target, author(request)), deadline);
    }

    private static RuleProposal proposal(Json.Obj request, String name, List<RuleDocument> versions)
            throws InvalidRuleException {
        DocumentSchema schema = DocumentSchemas.all().get(name);
        if (schema == null) {
            throw new InvalidRuleException("unknown document " + name + ", expected one of "
                    + DocumentSchemas.all().keySet());
        }
        String body = String.valueOf(request.text("body"));
        String fallback = request.text("fallback");
        if (fallback == null) {
            fallback = schema.minimalFallback(schema.parse(body)).toJson();
        }
        long version = (long) request.number("number", 0);
        RuleDocument parent = request.get("number") == null ? latest(versions) : find(versions, version);
        return new RuleProposal(name, parent == null ? version : parent.version(),
                parent == null ? "" : parent.hash(), author(request), body, fallback);
    }

    private void propose(JsonGenerator out, RuleProposal proposal, long deadline)
            throws IOException, TimeoutException, InterruptedException {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
        ConsensusService.ProposalOutcome outcome = consensus.propose(proposal, Math.max(1, remainingMillis));
        out.writeStartObject();
        out.writeStringField("name", proposal.name());
        out.writeNumberField("version", outcome.version());
        boolean acts = outcome.rejection().isEmpty();
        out.writeStringField(acts ? "state" : "refused", acts ? "acts" : outcome.rejection());
        out.writeEndObject();
    }

    private static long waitMillis(Json.Obj request) {
        return (long) Math.max(1, Math.min(MAX_WAIT_MILLIS, request.number("wait_ms", MAX_WAIT_MILLIS)));
    }

    private static long deadlineNanos(Json.Obj request) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis(request));
    }

    private static String author(Json.Obj request) {
        return String.valueOf(request.text("author"));
    }

    /** Returns the latest version, or null if there is none. */
    private static RuleDocument latest(List<RuleDocument> versions) {
        return versions.isEmpty() ? null : versions.get(versions.size() - 1);
    }

    /** Returns the version with the given number, or null. */
    private static RuleDocument find(List<RuleDocument> versions, long version) {
        return versions.stream().filter(d -> d.version() == version).findFirst().orElse(null);
    }
}
