package wallmoor.decision;

/** The marker for a number that is absent. An absent text is null. */
public final class Absent {
    /** The value of an absent time, hint or count. */
    public static final long VALUE = -1;

    private Absent() {}
}
