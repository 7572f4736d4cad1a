package wallmoor.core;

/**
 * A worker of the endpoint list. Its state may change while parts wait for a connection to it: it is written under the
 * gatherer's lock, and its address and whether it serves are read without it.
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

    /** Takes the endpoint as the list has it now; a banned worker does not serve, whatever the list says. */
    void update(WorkerEndpoint latest, boolean banned) {
        endpoint = latest;
        address = latest.address();
        serving = latest.state() == WorkerEndpoint.EndpointState.SERVING && !banned;
    }

    /** The endpoint as the list had it last. */
    WorkerEndpoint endpoint() {
        return endpoint;
    }

    /** The list no longer names it. */
    void markRemoved() {
        serving = false;
    }

    /** Its id, the same at every gatherer. */
    public String id() {
        return id;
    }

    /** Where it listens now. */
    public String address() {
        return address;
    }

    /** Whether new work may be sent to it: read again just before each write, so that a drain also holds there. */
    public boolean isServing() {
        return serving;
    }
}
