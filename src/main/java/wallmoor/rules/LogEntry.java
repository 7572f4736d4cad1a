package wallmoor.rules;

/**
 * An entry of the replicated log, as in Raft. Entries of a leader carry its epoch as a fencing token: the state machine
 * ignores one whose epoch, version or hash is no longer current.
 */
public sealed interface LogEntry {
    /** An author proposes a version. */
    record ProposeVersion(RuleProposal proposal) implements LogEntry {}

    /**
     * A voter says whether its program can read a pending version.
     *
     * @param objection why it can't; empty where it can
     */
    record VoterVerdict(String voter, String name, long version, String hash, String objection) implements LogEntry {}

    /** The leader has waited long enough for verdicts: those that came decide on the version. */
    record CloseVerdicts(long leaderEpoch, String name, long version) implements LogEntry {}

    /**
     * A voter leads from this entry on, and alone grants leases.
     *
     * @param incarnation tells two processes of one voter apart
     */
    record LeaderElected(String voter, long incarnation) implements LogEntry {}

    /** No lease is left whose holder does not know this version: it becomes active. */
    record ActivateVersion(long leaderEpoch, String name, long version) implements LogEntry {}
}
