package wallmoor.consensus;

import io.microraft.RaftEndpoint;

/** The identity of a voting member in the Raft library. */
record VoterEndpoint(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }

    /** Returns the member's name; empty for null. */
    static String nameOf(RaftEndpoint endpoint) {
        return endpoint == null ? "" : (String) endpoint.getId();
    }
}
