package wallmoor.moves;

/** What is to be done. */
public sealed interface Action {
    /** Propose this as the version after the one of this number. Told again until it is said what came of it. */
    record Propose(long parent, State next) implements Action {}

    /**
     * Ask a node, and say what it answered, or that it did not.
     *
     * @param id     of this asking alone
     * @param number of the version that acts: a node refuses what is older than what it has seen
     */
    record Send(long id, String node, String block, long number, Ask ask) implements Action {}
}
