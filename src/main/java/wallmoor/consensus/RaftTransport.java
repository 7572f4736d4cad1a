package wallmoor.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.transport.Transport;

/** Sends the messages of the Raft library. Drops election requests while this member must catch up. */
final class RaftTransport implements Transport {
    private final VoterContext context;
    private final RejoiningVoter rejoining;

    RaftTransport(VoterContext context, RejoiningVoter rejoining) {
        this.context = context;
        this.rejoining = rejoining;
    }

    /** Returns whether a message requests a vote or an election. */
    static boolean isElectionRequest(RaftMessage message) {
        return message instanceof VoteRequest || message instanceof PreVoteRequest
                || message instanceof TriggerLeaderElectionRequest;
    }

    @Override
    public void send(RaftEndpoint to, RaftMessage message) {
        if (rejoining.minimumLeaderTerm() == 0 || !isElectionRequest(message)) {
            byte[] bytes = RaftMessageEncoder.encode(message);
            context.sendToVoter(VoterEndpoint.nameOf(to), new Packet.RaftEnvelope(bytes));
        }
    }

    @Override
    public boolean isReachable(RaftEndpoint voter) {
        return context.isReachable(VoterEndpoint.nameOf(voter));
    }
}
