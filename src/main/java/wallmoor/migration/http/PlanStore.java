package wallmoor.migration.http;

import wallmoor.migration.MigrationAction;
import wallmoor.migration.MigrationCoordinator.OperatorCommand;
import wallmoor.migration.MigrationPlan;

/**
 * Stores the versions of the plan; reports which one is active, and the outcomes of proposals. No method blocks for
 * long.
 */
public interface PlanStore extends AutoCloseable {
    /**
     * A version that became active, or the rejection of a proposal.
     *
     * @param version version of the active plan; where {@code plan} is null, the parent version of a rejected proposal
     * @param plan    the plan of that version; null where a proposal was rejected
     */
    record PlanUpdate(long version, MigrationPlan plan) {
        boolean isRejection() {
            return plan == null;
        }
    }

    /** Proposes a version; a later update reports its outcome. Idempotent. */
    void propose(MigrationAction.ProposePlan proposal) throws PlanStoreException;

    /** Returns the next update, or null. */
    PlanUpdate poll() throws PlanStoreException;

    /**
     * Returns whether the last update may still be acted on. If not, migrations may have been paused meanwhile, and no
     * requests may be sent to nodes.
     */
    boolean isCurrent();

    /** Returns the command that an operator stored with the plan, or null. */
    OperatorCommand pendingCommand() throws PlanStoreException;

    /** Removes the pending command, because the plan reflects it. */
    void clearCommand() throws PlanStoreException;

    /** Publishes the progress, a JSON object, for operators. */
    void publishProgress(String json) throws PlanStoreException;

    @Override
    void close();
}
