package wallmoor.http;

/** The state of a client's connection. */
enum ConnectionState {
    /** No byte has been received. */
    NEW,
    /** A part of the first request has been received. */
    FIRST_REQUEST,
    /** A part of a later request has been received. */
    LATER_REQUEST,
    /** A complete request waits for a thread or is being handled. */
    ACTIVE,
    /**
     * Between requests, none of which was client work; health checks usually use a new connection each time.
     */
    IDLE_UNUSED,
    /** Between requests. */
    IDLE,
    /**
     * The output is closed; received bytes are discarded until the client closes, too, or a time limit has passed.
     */
    CLOSING,
    /** Closed in both directions. */
    CLOSED;

    /** Returns whether a part of a request has been received, and not all of it. */
    boolean isIncomplete() {
        return this == FIRST_REQUEST || this == LATER_REQUEST;
    }

    /** Returns whether a request is being served, or one was and the connection waits for the next. */
    boolean isInUse() {
        return this == ACTIVE || isIdle();
    }

    /** Returns whether the connection is between requests. */
    boolean isIdle() {
        return this == IDLE || this == IDLE_UNUSED;
    }
}
