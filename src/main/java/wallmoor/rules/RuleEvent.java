package wallmoor.rules;

/** What an entry came to. */
public sealed interface RuleEvent {
    /** A version has its number and waits for the voters' verdicts. */
    record VersionPending(RuleDocument document) implements RuleEvent {}

    /** The voters can read it: what it takes away holds wherever it is known. {@code key} is the proposal's. */
    record VersionAccepted(String idempotencyKey, RuleDocument document) implements RuleEvent {}

    /** A proposal has come to nothing. {@code key} is the proposal's. */
    record ProposalRejected(String idempotencyKey, ProposalRejection rejection) implements RuleEvent {}

    /** The version acts: what it adds holds as well. */
    record VersionActivated(String name, long version) implements RuleEvent {}

    /** Another leader, or another process of the same. */
    record LeaderChanged(String voter, long incarnation, long leaderEpoch) implements RuleEvent {}
}
