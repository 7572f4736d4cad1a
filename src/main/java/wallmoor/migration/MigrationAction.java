package wallmoor.migration;

/** An action that the coordinator's caller has to perform. */
public sealed interface MigrationAction {
    /**
     * Proposes a plan as the successor of a version. The action is issued again until the outcome is reported, so
     * proposing must be idempotent.
     *
     * @param parentVersion version that the proposal succeeds
     */
    record ProposePlan(long parentVersion, MigrationPlan plan) implements MigrationAction {}

    /**
     * Sends a request to a node; the caller reports the response, or that there was none.
     *
     * @param requestId    unique among this coordinator's requests
     * @param block        block that the request is about; empty for {@link ReplicaRequest.ListReplicas}
     * @param fencingToken number of the active version; a node rejects a token lower than the highest it has received
     */
    record SendRequest(long requestId, String node, String block, long fencingToken, ReplicaRequest request)
            implements
                MigrationAction {}
}
