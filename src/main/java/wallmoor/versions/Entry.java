package wallmoor.versions;

/** What the log holds, in the one order that all voters see. Whatever is not current any more does nothing. */
public sealed interface Entry {
    /** An author proposes a version. */
    record Propose(Proposal proposal) implements Entry {}

    /** A voter's program can read a proposed version, or can't. {@code why} is empty where it can. */
    record Verdict(String member, String name, long number, String hash, String why) implements Entry {}

    /** The leader has waited long enough for verdicts: the version is decided by those that came. */
    record Close(long epoch, String name, long number) implements Entry {}

    /**
     * A voter leads from here on: it alone grants leases.
     *
     * @param life tells two processes of one name apart
     */
    record Lead(String member, long life) implements Entry {}

    /** Nobody can act without knowing this version any more: it acts. */
    record Act(long epoch, String name, long number) implements Entry {}
}
