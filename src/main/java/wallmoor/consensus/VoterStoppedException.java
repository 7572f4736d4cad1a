package wallmoor.consensus;

/** Thrown when the Raft library calls a voting member that has stopped. */
final class VoterStoppedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param reason the reason for the stop
     */
    VoterStoppedException(String reason) {
        super(reason);
    }
}
