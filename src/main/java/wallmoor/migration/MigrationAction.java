package wallmoor.migration;

/** What the coordinator's caller has to do. */
public sealed interface MigrationAction {
    /**
     * Propose a plan as the successor of a version. Issued again until the outcome is reported, so proposing must be
     * idempotent.
     *
     * @param parentVersion version that the proposal was made from
     */
    record ProposePlan(long parentVersion, MigrationPlan plan) implements MigrationAction {}

    /**
     * Send a request to a node, and report its response or that there was none.
     *
     * @param requestId    unique among this coordinator's requests
     * @param block        empty for {@link ReplicaRequest.ListReplicas}
     * @param fencingToken number of the active version: a node rejects requests with a lower token than it has seen
     */
    record SendRequest(long requestId, String node, String block, long fencingToken, ReplicaRequest request)
            implements
                MigrationAction {}
}
