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
 * Who waits for what comes of a proposal, while this voter leads. A request that comes again is the same one by its
 * number; one that is lost with the leader is asked again of the next, whose ledger knows what came of it. Used on one
 * thread.
 */
final class PendingProposals {
    private static final int MOST = 64;

    /** What was put into the log and did not come out of it for so long is put there again. */
    private static final long AGAIN = 2_000_000;

    private record Waiting(Packet.ClientRequest request, Consumer<Packet> answer, long appendedAt) {}

    private final LinkedHashMap<Long, Waiting> waiting = new LinkedHashMap<>();
    private final LinkedHashMap<Long, Packet.ClientResponse> refused = new LinkedHashMap<>();

    /** What is known already of what is asked, or null. */
    Packet.ClientResponse knownOutcome(Packet.ClientRequest request, RuleStateMachine ledger) {
        Packet.ClientResponse was = refused.get(request.id());
        if (was != null) {
            return was;
        }
        for (RuleDocument d : ledger.history(request.name())) {
            if (is(d, request.proposal())) {
                boolean acts = ledger.activeVersion(d.name()) >= d.version();
                return acts ? reply(request, "acts", d.version(), "", ledger) : waiting.containsKey(request.id())
                        ? reply(request, "accepted", d.version(), "", ledger) : null;
            }
        }
        return null;
    }

    private static boolean is(RuleDocument d, RuleProposal p) {
        return d.parentVersion() == p.parentVersion() && d.parentHash().equals(p.parentHash())
                && d.author().equals(p.author())
                && d.body().equals(p.body()) && d.fallback().equals(p.fallback());
    }

    /** Answers once something comes of it; whether it is to be put into the log now. */
    boolean await(long now, Packet.ClientRequest request, Consumer<Packet> answer) {
        Waiting before = waiting.get(request.id());
        boolean first = before == null || now - before.appendedAt() >= AGAIN;
        waiting.put(request.id(), new Waiting(request, answer, first ? now : before.appendedAt()));
        if (waiting.size() > MOST) {
            waiting.remove(waiting.keySet().iterator().next());
        }
        return first;
    }

    /** The ledger has taken an entry. */
    void onApplied(List<RuleEvent> effects, RuleStateMachine ledger) {
        for (RuleEvent e : effects) {
            for (Map.Entry<Long, Waiting> w : new ArrayList<>(waiting.entrySet())) {
                Packet.ClientRequest request = w.getValue().request();
                Packet.ClientResponse reply = null;
                if (e instanceof RuleEvent.ProposalRejected r
                        && r.idempotencyKey().equals(request.proposal().idempotencyKey())) {
                    reply = reply(request, "refused", r.rejection().aboutVersion(), r.rejection().message(), ledger);
                    refused.put(request.id(), reply);
                    if (refused.size() > MOST) {
                        refused.remove(refused.keySet().iterator().next());
                    }
                } else if (e instanceof RuleEvent.VersionActivated a && a.name().equals(request.name())) {
                    reply = knownOutcome(request, ledger);
                } else if (e instanceof RuleEvent.LeaderChanged) {
                    waiting.remove(w.getKey()); // what was appended may be lost: who still wants it asks again
                }
                if (reply != null) {
                    waiting.remove(w.getKey());
                    w.getValue().answer().accept(reply);
                }
            }
        }
    }

    private static Packet.ClientResponse reply(Packet.ClientRequest request, String state, long number, String why,
            RuleStateMachine ledger) {
        return new Packet.ClientResponse(request.id(), state, number, why, ledger.activeVersion(request.name()),
                List.of(), List.of());
    }
}
