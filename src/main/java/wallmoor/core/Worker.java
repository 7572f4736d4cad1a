package wallmoor.core;

/** A worker of the list. Its state may change while parts wait for a connection to it. */
public final class Worker {
    private final String id;
    /** Guarded by the gatherer's lock. */
    private WorkerEndpoint endpoint;
    private volatile String address;
    private volatile boolean isServing;

    Worker(String id) {
        this.id = id;
    }

    /** Takes the list's word, but for serving where an operator took it out. */
    void update(WorkerEndpoint m, boolean banned) {
        endpoint = m;
        address = m.address();
        isServing = m.state() == WorkerEndpoint.EndpointState.SERVING && !banned;
    }

    /** What the list said last. */
    WorkerEndpoint endpoint() {
        return endpoint;
    }

    void markRemoved() {
        isServing = false;
    }

    /** Its id, the same at every gatherer. */
    public String id() {
        return id;
    }

    /** Where it listens now. */
    public String address() {
        return address;
    }

    /** Whether new work may be sent to it: asked again just before each write, so that a drain also holds there. */
    public boolean isServing() {
        return isServing;
    }
}
