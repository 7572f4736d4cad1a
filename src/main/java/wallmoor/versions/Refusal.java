package wallmoor.versions;

/**
 * Why a proposal was refused.
 *
 * @param number of the version that it is about: the one refused, or the one that won
 * @param by     who stands against it: a voter's name, or the winner's author
 * @param detail what there is to say beside
 */
public record Refusal(Reason reason, String name, long number, String by, String detail) {
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
    public String sentence() {
        String version = name + " " + number;
        return switch (reason) {
            case LOST -> version + " by " + by + " was proposed first on the same parent: look at it and propose again";
            case OLD_PARENT -> "the last version is " + version + " by " + by + ": look at it and propose again on it";
            case UNREADABLE ->
                by + " cannot read " + version + " (" + detail + "): correct it, or put the newer program on " + by;
            case UNHEARD -> "of " + version + " no verdict came from " + by + ": see that they run, and propose again";
            case BUSY -> detail + " versions wait until all know them: propose again once " + version + " acts";
            case MALFORMED -> name + ": " + detail;
        };
    }
}
