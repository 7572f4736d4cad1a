package wallmoor.rules;

/** What a log entry changed when {@link RuleStateMachine} applied it. */
public sealed interface RuleEvent {
    /** A proposal has become a version with a number, which waits for the voters' verdicts. */
    record VersionPending(RuleDocument document) implements RuleEvent {}

    /** A version is accepted: what it restricts holds wherever it is known. */
    record VersionAccepted(String idempotencyKey, RuleDocument document) implements RuleEvent {}

    /** A proposal is rejected, before or after it got a number. */
    record ProposalRejected(String idempotencyKey, ProposalRejection rejection) implements RuleEvent {}

    /** An accepted version has become the active one: what it permits holds as well. */
    record VersionActivated(String name, long version) implements RuleEvent {}

    /**
     * Another voter leads, or another process of the same.
     *
     * @param incarnation tells two processes of one voter apart
     * @param leaderEpoch the leader's fencing token
     */
    record LeaderChanged(String voter, long incarnation, long leaderEpoch) implements RuleEvent {}
}
