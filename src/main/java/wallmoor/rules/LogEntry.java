package wallmoor.rules;

/**
 * An entry of the replicated log, as in Raft. Entries of a leader carry its epoch as a fencing token. The state machine
 * ignores entries whose epoch, version or hash is no longer current.
 */
public sealed interface LogEntry {
    /** Proposes a version of a document. */
    record ProposeVersion(RuleProposal proposal) implements LogEntry {}

    /**
     * Reports whether a voter's program can read a pending version.
     *
     * @param objection why the program can't read it; empty if it can
     */
    record VoterVerdict(String voter, String name, long version, String hash, String objection) implements LogEntry {}

    /** Ends the leader's wait for verdicts: the verdicts received decide on the version. */
    record CloseVerdicts(long leaderEpoch, String name, long version) implements LogEntry {}

    /**
     * Makes a voter the leader from this entry on. Only the leader grants leases.
     *
     * @param incarnation number that differs between two processes of the same voter
     */
    record LeaderElected(String voter, long incarnation) implements LogEntry {}

    /** Activates a version, as all holders of unexpired leases know it. */
    record ActivateVersion(long leaderEpoch, String name, long version) implements LogEntry {}
}
