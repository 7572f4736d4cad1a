package wallmoor.rules;

/**
 * Why a proposal was rejected.
 *
 * @param name         of the document
 * @param aboutVersion the version rejected, or the one that won over it
 * @param opponent     the voter that objects or is silent, or the winner's author
 * @param detail       by reason, such as a voter's objection or the winner's hash
 */
public record ProposalRejection(Reason reason, String name, long aboutVersion, String opponent, String detail) {
    /** Reasons for a rejection. */
    public enum Reason {
        /** Another proposal on the same parent was first in the log. */
        LOST,
        /** The parent is not the latest accepted version. */
        OLD_PARENT,
        /** A voter's program can't read it. */
        UNREADABLE,
        /** Fewer than a majority of voters sent a verdict in time. */
        UNHEARD,
        /** Too many accepted versions are not active yet. */
        BUSY,
        /** It is too large, or its name, author or parent is invalid. */
        MALFORMED
    }

    /** Returns a sentence for the author: what happened and what to do. */
    public String message() {
        String version = name + " " + aboutVersion;
        return switch (reason) {
            case LOST ->
                version + " by " + opponent + " was proposed first on the same parent: look at it and propose again";
            case OLD_PARENT ->
                "the last version is " + version + " by " + opponent + ": look at it and propose again on it";
            case UNREADABLE ->
                opponent + " cannot read " + version + " (" + detail + "): correct it, or put the newer program on "
                        + opponent;
            case UNHEARD ->
                "of " + version + " no verdict came from " + opponent + ": see that they run, and propose again";
            case BUSY -> detail + " versions wait until all know them: propose again once " + version + " acts";
            case MALFORMED -> name + ": " + detail;
        };
    }
}
