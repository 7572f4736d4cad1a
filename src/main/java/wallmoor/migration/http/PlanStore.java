package wallmoor.migration.http;

import wallmoor.migration.MigrationAction;
import wallmoor.migration.MigrationPlan;

/**
 * Where the plan is kept: which version acts, and what becomes of one that is proposed. Nothing here waits for long.
 */
public interface PlanStore extends AutoCloseable {
    /**
     * What is new.
     *
     * @param version of the version that acts; where the state is null, of the one after which a proposal was refused
     * @param plan  what that version says
     */
    record PlanUpdate(long version, MigrationPlan plan) {}

    /** Proposes; what becomes of it is news later. Told again it is the same proposal. */
    void propose(MigrationAction.ProposePlan next) throws PlanStoreException;

    /** What is new, or null. */
    PlanUpdate poll() throws PlanStoreException;

    /** Whether what was told last may be gone by still: if not, somebody may have paused the moves meanwhile. */
    boolean isCurrent();

    /** What an operator wishes beside the plan: a word, or an empty text. */
    String wish();

    /** The plan says what was wished. */
    void clearCommand() throws PlanStoreException;

    /** How far it has come, for who looks. */
    void progress(String json) throws PlanStoreException;

    @Override
    void close();
}
