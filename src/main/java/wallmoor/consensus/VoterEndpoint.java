package wallmoor.consensus;

import io.microraft.RaftEndpoint;

/** A voter as the log's library names it. */
record VoterEndpoint(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }

    static String of(RaftEndpoint endpoint) {
        return endpoint == null ? "" : (String) endpoint.getId();
    }
}
