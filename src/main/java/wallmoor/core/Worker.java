package wallmoor.core;

/**
 * A worker of the endpoint list. Its state may change while parts wait for a connection to it. The state is written
 * under the gatherer's lock; the address and the serving flag are read without the lock.
 */
public final class Worker {
    private final String id;
    /** Guarded by the gatherer's lock. */
    private WorkerEndpoint endpoint;
    private volatile String address;
    private volatile boolean serving;

    Worker(String id) {
        this.id = id;
    }

    /** Sets the latest endpoint from the list; a banned worker does not serve, whatever its state in the list. */
    void update(WorkerEndpoint latest, boolean banned) {
        endpoint = latest;
        address = latest.address();
        serving = latest.state() == WorkerEndpoint.EndpointState.SERVING && !banned;
    }

    /** Returns the latest endpoint from the list. */
    WorkerEndpoint endpoint() {
        return endpoint;
    }

    /** Marks the worker as removed from the endpoint list, so that it no longer serves. */
    void markRemoved() {
        serving = false;
    }

    /** Returns the worker's id, which is the same at every gatherer. */
    public String id() {
        return id;
    }

    /** Returns the address at which the worker currently listens. */
    public String address() {
        return address;
    }

    /** Returns whether new work may be sent; checked before each write, so that a drain takes effect there too. */
    public boolean isServing() {
        return serving;
    }
}
