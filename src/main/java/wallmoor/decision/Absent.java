package wallmoor.decision;

/** Stands for a number that was not given. An absent text is null. */
public final class Absent {
    /** A time, a hint or a count that was not given. */
    public static final long VALUE = -1;

    private Absent() {}
}
