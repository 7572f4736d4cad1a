package wallmoor.decision;

/** The reasons for the end of an attempt, as the transport reports them. */
public enum AttemptEndReason {
    /** The worker answered. */
    OK(false),
    /** The worker answered with an error. */
    ERROR(false),
    /** The worker shed load and did not take the part. */
    REJECTED(true),
    /** The worker did not answer within the attempt's timeout. */
    TIMEOUT(false),
    /** No connection could be established. */
    CONNECT_FAILED(true),
    /** The connection broke during the attempt. */
    RESET(false),
    /** The attempt was cancelled by {@link RoutingActions#cancelAttempt}. */
    CANCELLED(false),
    /** The attempt could not start in time and was never sent. */
    NOT_STARTED(true);

    /** Whether this reason proves that the part was not executed. */
    public final boolean neverRan;

    AttemptEndReason(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
