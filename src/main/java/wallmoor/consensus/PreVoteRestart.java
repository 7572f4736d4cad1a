package wallmoor.consensus;

import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;

/**
 * Works round a fault of MicroRaft 0.7, by which a voting member stands for no election any more. The library begins a
 * pre-vote (Ongaro's thesis, section 9.6) where no leader is known, and gives it up once one is heard; where that one
 * leads in the same term, the pre-vote's state is never taken back. From then on the library believes that the pre-vote
 * still runs, and begins none when the leader falls silent. Where the other members can't win, as their logs are
 * shorter, nobody leads until the old leader is back. It happens where a member gave its vote and the winner is heard
 * late. What the library would do is done here instead, by its own steps. Control thread.
 */
final class PreVoteRestart {
    private PreVoteRestart() {}

    /** Begins a pre-vote where the leader is silent and the one that seems to run does not. Whether it did. */
    static boolean restartIfStalled(RaftNode node) {
        var raft = (RaftNodeImpl) node;
        boolean stalled = raft.state().role() == RaftRole.FOLLOWER && raft.state().preCandidateState() != null
                && raft.state().leader() != null && raft.isLeaderHeartbeatTimeoutElapsed();
        if (stalled) {
            raft.leader(null); // as its own heartbeat task does: others' pre-votes and its own are heard from here on
            raft.runPreVote();
        }
        return stalled;
    }
}
