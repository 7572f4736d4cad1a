package wallmoor.decision;

/** How an attempt ended, as the transport reports it. */
public enum AttemptEndReason {
    /** The worker answered. */
    OK(false),
    /** The worker answered with an error. */
    ERROR(false),
    /** The worker shed the load: it did not take the part. */
    REJECTED(true),
    /** No answer within the time that the attempt had. */
    TIMEOUT(false),
    /** No connection came up. */
    CONNECT_FAILED(true),
    /** The connection broke under the attempt. */
    RESET(false),
    /** The attempt was cancelled by {@link RoutingActions#cancelAttempt}. */
    CANCELLED(false),
    /** It could not begin in time, and so was never sent. */
    NOT_STARTED(true);

    /** Whether this end proves that the part was not executed. */
    public final boolean neverRan;

    AttemptEndReason(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
