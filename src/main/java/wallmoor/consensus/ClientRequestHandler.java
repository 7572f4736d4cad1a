package wallmoor.consensus;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import wallmoor.rules.LogEntry;
import wallmoor.rules.RuleEvent;
import wallmoor.rules.RuleStateMachine;

/**
 * Handles client requests while this member leads: proposals and reads of a document's history. Runs on the control
 * thread.
 */
final class ClientRequestHandler {
    /** Messages about rejected proposals that are retained for operators. */
    private static final int MAX_REJECTIONS = 20;

    private final RaftLog raftLog;
    private final PendingProposals pending = new PendingProposals();
    private final ArrayDeque<String> rejections = new ArrayDeque<>();

    ClientRequestHandler(RaftLog raftLog) {
        this.raftLog = raftLog;
    }

    /** Responds immediately where the outcome is known, otherwise once the proposal is decided. */
    void handle(long nowMicros, Packet.ClientRequest request, RuleStateMachine stateMachine,
            Consumer<Packet.ClientResponse> responder) {
        if (request.proposal() == null) {
            responder.accept(history(request, stateMachine));
            return;
        }
        Packet.ClientResponse known = pending.knownOutcome(request, stateMachine);
        if (known != null) {
            responder.accept(known);
        } else if (pending.await(nowMicros, request, responder)) {
            raftLog.append(new LogEntry.ProposeVersion(request.proposal()));
        }
    }

    private Packet.ClientResponse history(Packet.ClientRequest request, RuleStateMachine stateMachine) {
        String document = request.name();
        List<String> documentRejections = rejections.stream().filter(r -> r.startsWith(document + " ")).toList();
        return new Packet.ClientResponse(request.id(), Packet.ClientResponse.HISTORY, 0, "",
                stateMachine.activeVersion(document), stateMachine.history(document), documentRejections);
    }

    /** Processes the events of newly applied log entries. */
    void onApplied(List<RuleEvent> events, RuleStateMachine stateMachine) {
        for (RuleEvent event : events) {
            if (event instanceof RuleEvent.ProposalRejected rejected) {
                rejections.addLast(rejected.rejection().name() + " " + rejected.rejection().aboutVersion() + ": "
                        + rejected.rejection().message());
                if (rejections.size() > MAX_REJECTIONS) {
                    rejections.removeFirst();
                }
            }
        }
        pending.onApplied(events, stateMachine);
    }
}
