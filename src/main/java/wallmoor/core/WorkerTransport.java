package wallmoor.core;

/** Sends attempts to workers on behalf of query threads. Neither method waits for a worker. */
public interface WorkerTransport {
    /** Starts the attempts of one call; the end of each is reported later, once. */
    void send(Step.Send send);

    /** Cancels an attempt, whose end is reported only when it is no longer in flight, so that none runs twice. */
    void cancel(Step.Cancel cancel);
}
