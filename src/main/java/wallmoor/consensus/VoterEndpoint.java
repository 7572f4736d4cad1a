package wallmoor.consensus;

import io.microraft.RaftEndpoint;

/** A voting member as the Raft library names it. */
record VoterEndpoint(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }

    /** The member's name; empty for null. */
    static String nameOf(RaftEndpoint endpoint) {
        return endpoint == null ? "" : (String) endpoint.getId();
    }
}
