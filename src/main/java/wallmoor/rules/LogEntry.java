package wallmoor.rules;

/** What the log holds, in the one order that all voters see. Whatever is not current any more does nothing. */
public sealed interface LogEntry {
    /** An author proposes a version. */
    record ProposeVersion(RuleProposal proposal) implements LogEntry {}

    /** A voter's program can read a proposed version, or can't. {@code why} is empty where it can. */
    record VoterVerdict(String voter, String name, long version, String hash, String objection) implements LogEntry {}

    /** The leader has waited long enough for verdicts: the version is decided by those that came. */
    record CloseVerdicts(long leaderEpoch, String name, long version) implements LogEntry {}

    /**
     * A voter leads from here on: it alone grants leases.
     *
     * @param incarnation tells two processes of one name apart
     */
    record LeaderElected(String voter, long incarnation) implements LogEntry {}

    /** Nobody can act without knowing this version any more: it acts. */
    record ActivateVersion(long leaderEpoch, String name, long version) implements LogEntry {}
}
