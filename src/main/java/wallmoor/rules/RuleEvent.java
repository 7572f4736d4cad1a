package wallmoor.rules;

/** A change that {@link RuleStateMachine} made when it applied a log entry. */
public sealed interface RuleEvent {
    /** A proposal has become a numbered version, which waits for the voters' verdicts. */
    record VersionPending(RuleDocument document) implements RuleEvent {}

    /** A version was accepted: its restrictions are in effect for each gatherer that knows it. */
    record VersionAccepted(String idempotencyKey, RuleDocument document) implements RuleEvent {}

    /** A proposal was rejected, before or after it received a version number. */
    record ProposalRejected(String idempotencyKey, ProposalRejection rejection) implements RuleEvent {}

    /** An accepted version has become the active one: its permissions are in effect as well. */
    record VersionActivated(String name, long version) implements RuleEvent {}

    /**
     * Another voter, or another process of the same voter, has become the leader.
     *
     * @param incarnation number that differs between two processes of the same voter
     * @param leaderEpoch fencing token of the leader
     */
    record LeaderChanged(String voter, long incarnation, long leaderEpoch) implements RuleEvent {}
}
