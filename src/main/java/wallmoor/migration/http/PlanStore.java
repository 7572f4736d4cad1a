package wallmoor.migration.http;

import wallmoor.migration.MigrationAction;
import wallmoor.migration.MigrationCoordinator.OperatorCommand;
import wallmoor.migration.MigrationPlan;

/**
 * Keeps the versions of the plan: tells which one is active, and what became of proposals. No method blocks for long.
 */
public interface PlanStore extends AutoCloseable {
    /**
     * News of the plan.
     *
     * @param version of the active plan; where {@code plan} is null, the parent version of a rejected proposal
     * @param plan    what that version says; null where a proposal was rejected
     */
    record PlanUpdate(long version, MigrationPlan plan) {
        boolean isRejection() {
            return plan == null;
        }
    }

    /** Proposes a version; its outcome is an update later. Idempotent. */
    void propose(MigrationAction.ProposePlan proposal) throws PlanStoreException;

    /** The next update, or null. */
    PlanUpdate poll() throws PlanStoreException;

    /**
     * Whether the last update may still be acted on. If not, migrations may have been paused meanwhile, and nothing
     * must be requested from nodes.
     */
    boolean isCurrent();

    /** A command that an operator left beside the plan, or null. */
    OperatorCommand pendingCommand() throws PlanStoreException;

    /** The plan reflects the command: it is no longer pending. */
    void clearCommand() throws PlanStoreException;

    /** Publishes the progress, a JSON object, for operators. */
    void publishProgress(String json) throws PlanStoreException;

    @Override
    void close();
}
