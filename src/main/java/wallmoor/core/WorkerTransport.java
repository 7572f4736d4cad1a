package wallmoor.core;

/** What a front's query threads use to reach workers. Neither call waits for a worker. */
public interface WorkerTransport {
    /** Starts the attempts of one call; each is reported once, later. */
    void send(Step.Send send);

    /** Calls an attempt off; it is reported once nothing of it is out any more, so that no second copy ever is. */
    void cancel(Step.Cancel cancel);
}
