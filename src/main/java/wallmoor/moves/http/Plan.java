package wallmoor.moves.http;

import wallmoor.moves.Action;
import wallmoor.moves.State;

/**
 * Where the plan is kept: which version acts, and what becomes of one that is proposed. Nothing here waits for long.
 */
public interface Plan extends AutoCloseable {
    /**
     * What is new.
     *
     * @param number of the version that acts; where the state is null, of the one after which a proposal was refused
     * @param state  what that version says
     */
    record News(long number, State state) {}

    /** Proposes; what becomes of it is news later. Told again it is the same proposal. */
    void propose(Action.Propose next) throws PlanException;

    /** What is new, or null. */
    News news() throws PlanException;

    /** Whether what was told last may be gone by still: if not, somebody may have paused the moves meanwhile. */
    boolean sure();

    /** What an operator wishes beside the plan: a word, or an empty text. */
    String wish();

    /** The plan says what was wished. */
    void heeded() throws PlanException;

    /** How far it has come, for who looks. */
    void progress(String json) throws PlanException;

    @Override
    void close();
}
