package wallmoor.consensus;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import wallmoor.rules.RuleDocument;
import wallmoor.rules.RuleEvent;
import wallmoor.rules.RuleProposal;
import wallmoor.rules.RuleStateMachine;

/**
 * The clients that wait for the outcome of a proposal while this member leads. A repeated request has the same id, so
 * its proposal is appended once. A request lost with a leader is sent again to the next one, whose state machine knows
 * the outcome. Runs on the control thread.
 */
final class PendingProposals {
    /** Limit of pending proposals, and of stored rejections; the oldest is removed. */
    private static final int MAX_ENTRIES = 64;
    /** The time after which an appended proposal that was not applied is appended again. */
    private static final long RETRY_MICROS = 2_000_000;

    private record PendingProposal(Packet.ClientRequest request, Consumer<Packet.ClientResponse> responder,
            long appendedAt) {}

    private final LinkedHashMap<Long, PendingProposal> pending = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Packet.ClientResponse> rejections = new LinkedHashMap<>();

    /** Returns the response to a proposal whose outcome is already known, or null. */
    Packet.ClientResponse knownOutcome(Packet.ClientRequest request, RuleStateMachine stateMachine) {
        Packet.ClientResponse rejection = rejections.get(request.id());
        if (rejection != null) {
            return rejection;
        }
        for (RuleDocument document : stateMachine.history(request.name())) {
            if (isOf(document, request.proposal())) {
                if (stateMachine.activeVersion(document.name()) >= document.version()) {
                    return response(request, Packet.ClientResponse.ACTS, document.version(), "", stateMachine);
                }
                return !pending.containsKey(request.id()) ? null
                        : response(request, Packet.ClientResponse.ACCEPTED, document.version(), "", stateMachine);
            }
        }
        return null;
    }

    private static boolean isOf(RuleDocument document, RuleProposal proposal) {
        return document.parentVersion() == proposal.parentVersion()
                && document.parentHash().equals(proposal.parentHash())
                && document.author().equals(proposal.author())
                && document.body().equals(proposal.body())
                && document.fallback().equals(proposal.fallback());
    }

    /**
     * Registers a responder for the outcome of a proposal, and returns whether the caller must append the proposal now.
     */
    boolean await(long nowMicros, Packet.ClientRequest request, Consumer<Packet.ClientResponse> responder) {
        PendingProposal last = pending.get(request.id());
        boolean append = last == null || nowMicros - last.appendedAt() >= RETRY_MICROS;
        pending.put(request.id(),
                new PendingProposal(request, responder, append ? nowMicros : last.appendedAt()));
        removeEldest(pending);
        return append;
    }

    /** Processes the events of newly applied log entries. */
    void onApplied(List<RuleEvent> events, RuleStateMachine stateMachine) {
        for (RuleEvent event : events) {
            for (PendingProposal proposal : new ArrayList<>(pending.values())) {
                onEvent(event, proposal, stateMachine);
            }
        }
    }

    private void onEvent(RuleEvent event, PendingProposal proposal, RuleStateMachine stateMachine) {
        Packet.ClientRequest request = proposal.request();
        Packet.ClientResponse response = null;
        if (event instanceof RuleEvent.ProposalRejected rejected
                && rejected.idempotencyKey().equals(request.proposal().idempotencyKey())) {
            response = response(request, Packet.ClientResponse.REJECTED, rejected.rejection().aboutVersion(),
                    rejected.rejection().message(), stateMachine);
            rejections.put(request.id(), response);
            removeEldest(rejections);
        } else if (event instanceof RuleEvent.VersionActivated activated && activated.name().equals(request.name())) {
            response = knownOutcome(request, stateMachine);
        } else if (event instanceof RuleEvent.LeaderChanged) {
            pending.remove(request.id()); // its entry may be lost with the old leader: the client sends it again
        }
        if (response != null) {
            pending.remove(request.id());
            proposal.responder().accept(response);
        }
    }

    private static void removeEldest(Map<Long, ?> entries) {
        if (entries.size() > MAX_ENTRIES) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    private static Packet.ClientResponse response(Packet.ClientRequest request, String state, long version,
            String reason, RuleStateMachine stateMachine) {
        return new Packet.ClientResponse(request.id(), state, version, reason,
                stateMachine.activeVersion(request.name()), List.of(), List.of());
    }
}
