package wallmoor.consensus;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.RaftGroupMembersView;
import java.util.Collection;
import java.util.List;

/** The one Raft group: its members are those of the operators' file, and never change while a process runs. */
final class RaftGroup {
    /** The library's name of the group; it is not sent. */
    static final String ID = "rules";

    private RaftGroup() {}

    /** All members as the library has them; each votes. */
    static RaftGroupMembersView members(RaftModelFactory models, Collection<String> voters) {
        List<RaftEndpoint> all = voters.stream().<RaftEndpoint>map(VoterEndpoint::new).toList();
        return models.createRaftGroupMembersViewBuilder().setLogIndex(0).setMembers(all).setVotingMembers(all).build();
    }
}
