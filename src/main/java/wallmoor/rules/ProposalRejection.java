package wallmoor.rules;

/**
 * Why a proposal was refused.
 *
 * @param aboutVersion of the version that it is about: the one refused, or the one that won
 * @param opponent     who stands against it: a voter's name, or the winner's author
 * @param detail what there is to say beside
 */
public record ProposalRejection(Reason reason, String name, long aboutVersion, String opponent, String detail) {
    /** The reasons. */
    public enum Reason {
        /** Another proposal on the same parent came first. */
        LOST,
        /** The parent is not the last version. */
        OLD_PARENT,
        /** A voter's program can't read it. */
        UNREADABLE,
        /** Too few voters said that they can read it. */
        UNHEARD,
        /** Too many accepted versions don't act yet. */
        BUSY,
        /** It is too large, or its name is none. */
        MALFORMED
    }

    /** What happened and what the author can do. */
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
