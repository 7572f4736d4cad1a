package wallmoor.consensus;

import io.microraft.RaftNode;
import io.microraft.RaftRole;
import io.microraft.impl.RaftNodeImpl;

/**
 * Has a voter stand again that the log's library would leave aside for good. MicroRaft 0.7 begins a pre-vote where no
 * leader is known, and gives it up once one is heard; where that one leads in the same term, the pre-vote is never
 * taken back. From then on the library takes this voter for one that asks already, and does not ask when the leader
 * falls silent. Where the others can't win, as their logs are shorter, nobody leads until the old leader is back. It
 * happens where a voter gave its vote and the winner is heard late. What the library would do is done here instead, by
 * its own steps. Control thread.
 */
final class PreVoteRestart {
    private PreVoteRestart() {}

    /** Begins a pre-vote where the leader is silent and none that still goes on was begun. Whether it did. */
    static boolean restartIfStalled(RaftNode node) {
        var raft = (RaftNodeImpl) node;
        boolean leftAside = raft.state().role() == RaftRole.FOLLOWER && raft.state().preCandidateState() != null
                && raft.state().leader() != null && raft.isLeaderHeartbeatTimeoutElapsed();
        if (leftAside) {
            raft.leader(null); // as its own heartbeat task does: others' pre-votes and its own are heard from here on
            raft.runPreVote();
        }
        return leftAside;
    }
}
