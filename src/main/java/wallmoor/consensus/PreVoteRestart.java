package wallmoor.consensus;

import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;

/**
 * Works around a bug of MicroRaft 0.7 that stops a voting member from starting elections. The library begins a pre-vote
 * (Ongaro's thesis, section 9.6) when no leader is known, and abandons it when a leader sends a message; if that leader
 * leads in the same term, the library does not clear the pre-vote's state. From then on it assumes that the pre-vote is
 * still running, and starts none when the leader falls silent. If the other members can't win, as their logs are
 * shorter, no member leads until the old leader returns. The bug occurs when a member has granted its vote and the
 * winner's first message arrives late. This class performs the missing steps in the library's own way. Runs on the
 * control thread.
 */
final class PreVoteRestart {
    private PreVoteRestart() {}

    /** Begins a pre-vote if the leader is silent and the library's pre-vote state is stale. Returns whether it did. */
    static boolean restartIfStalled(RaftNode node) {
        var raft = (RaftNodeImpl) node;
        boolean stalled = raft.state().role() == RaftRole.FOLLOWER && raft.state().preCandidateState() != null
                && raft.state().leader() != null && raft.isLeaderHeartbeatTimeoutElapsed();
        if (stalled) {
            raft.leader(null); // as the library's heartbeat task does; allows own and others' pre-votes
            raft.runPreVote();
        }
        return stalled;
    }
}
