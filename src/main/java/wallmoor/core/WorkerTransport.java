package wallmoor.core;

/** Sends attempts to workers on behalf of query threads. Neither method waits for a worker. */
public interface WorkerTransport {
    /** Starts the attempts of one call; the end of each is reported later, once. */
    void send(Step.Send send);

    /** Cancels an attempt; its end is reported once it is no longer in flight, so that no duplicate ever is. */
    void cancel(Step.Cancel cancel);
}
