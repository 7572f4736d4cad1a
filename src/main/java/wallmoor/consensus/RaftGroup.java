package wallmoor.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.RaftGroupMembersView;
import java.util.Collection;
import java.util.List;

/** The single Raft group. Its members are the configured voters and do not change while a process runs. */
final class RaftGroup {
    /** The group id that the library requires; it is not sent. */
    static final String ID = "rules";

    private RaftGroup() {}

    /** Returns the view of all members, each of which votes. */
    static RaftGroupMembersView members(RaftModelFactory models, Collection<String> voters) {
        List<RaftEndpoint> endpoints = voters.stream().<RaftEndpoint>map(VoterEndpoint::new).toList();
        return models.createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(endpoints)
                .setVotingMembers(endpoints).build();
    }
}
