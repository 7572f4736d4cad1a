package wallmoor.core;

/** The transport from the threads of queries to workers. Neither call waits for a worker. */
public interface WorkerTransport {
    /** Starts the attempts of one call; each is reported once, later. */
    void send(Step.Send send);

    /** Cancels an attempt; it is reported once nothing of it is in flight any more, so that no duplicate ever is. */
    void cancel(Step.Cancel cancel);
}
