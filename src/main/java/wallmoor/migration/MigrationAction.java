package wallmoor.migration;

/** What is to be done. */
public sealed interface MigrationAction {
    /** Propose this as the version after the one of this number. Told again until it is said what came of it. */
    record ProposePlan(long parentVersion, MigrationPlan plan) implements MigrationAction {}

    /**
     * Ask a node, and say what it answered, or that it did not.
     *
     * @param requestId     of this asking alone
     * @param fencingToken of the version that acts: a node refuses what is older than what it has seen
     */
    record SendRequest(long requestId, String node, String block, long fencingToken,
            ReplicaRequest request) implements MigrationAction {}
}
