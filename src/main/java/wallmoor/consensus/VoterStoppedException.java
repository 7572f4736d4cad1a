package wallmoor.consensus;

/** The Raft library asks a voting member for something after it was stopped. */
final class VoterStoppedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** {@code reason} is why it was stopped. */
    VoterStoppedException(String reason) {
        super(reason);
    }
}
