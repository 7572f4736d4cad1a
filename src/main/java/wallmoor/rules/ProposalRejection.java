package wallmoor.rules;

/**
 * The reason why a proposal was rejected.
 *
 * @param name         name of the document
 * @param aboutVersion the rejected version, or the earlier version that prevented it; 0 for a malformed proposal
 * @param blockedBy    the voter that objected, the voters without a verdict, or the author of the earlier version
 * @param detail       depends on the reason, such as a voter's objection or the hash of the earlier version
 */
public record ProposalRejection(Reason reason, String name, long aboutVersion, String blockedBy, String detail) {
    /** Reasons for a rejection. The names are part of responses to clients. */
    public enum Reason {
        /** Another proposal on the same parent came first in the log. */
        LOST,
        /** The parent is not the latest accepted version. */
        OLD_PARENT,
        /** A voter's program can't read the proposed version. */
        UNREADABLE,
        /** Fewer than a majority of voters sent a verdict in time. */
        UNHEARD,
        /** Too many accepted versions are not active yet. */
        BUSY,
        /** The proposal is too large, or its name, author or parent is invalid. */
        MALFORMED
    }

    /** Returns a message for the author with the reason and the remedy. */
    public String message() {
        String version = name + " " + aboutVersion;
        return switch (reason) {
            case LOST ->
                version + " by " + blockedBy + " was proposed first on the same parent: review it and propose again";
            case OLD_PARENT ->
                "the parent is outdated, the latest version is " + version + " by " + blockedBy
                        + ": review it and propose again on top of it";
            case UNREADABLE ->
                blockedBy + " cannot read " + version + " (" + detail
                        + "): correct the document, or upgrade the program on " + blockedBy;
            case UNHEARD ->
                "no verdict came from " + blockedBy + " on " + version
                        + " in time: check that these voters run, and propose again";
            case BUSY ->
                detail + " accepted versions are not active yet: propose again once " + version + " is active";
            case MALFORMED -> name + ": " + detail;
        };
    }
}
