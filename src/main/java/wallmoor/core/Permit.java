package wallmoor.core;

/**
 * Whether an attempt may begin at this moment. Who writes attempts asks {@link Attempt#permit} just before the first
 * byte: much may have happened since the attempt was decided. What is forbidden ends as {@link Outcome#NEVER_SENT}.
 */
public enum Permit {
    /** It may begin. */
    GRANTED,
    /** The client has left. */
    CLIENT_GONE,
    /** The query has its final answer. */
    QUERY_OVER,
    /** The attempt was called off. */
    CALLED_OFF,
    /** The worker drains, has left the list or was taken out by an operator. */
    NOT_SERVING,
    /** The list has given the worker another address than the one to be written to. */
    MOVED,
    /** The attempt's time is over: its client gives up, or no answer would earn anything. */
    TIME_OVER,
    /** It repeats what may have run, and the time in which a repeat is harmless is over. */
    WINDOW_OVER;

    /** Whether the attempt may begin. */
    public boolean granted() {
        return this == GRANTED;
    }
}
