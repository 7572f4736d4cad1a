package wallmoor.core;

/**
 * A worker as the endpoint list names it.
 *
 * @param address where it listens; this package only hands it on
 * @param zone    the network zone that it is in
 * @param kind    the kind of host that it runs on
 * @param cell    the cell of replicas that it belongs to, which says which shards it holds
 * @param size    its capacity compared with others, 1 for the usual one
 * @param upSince microseconds of Unix time of its last start, or 0 for long ago
 */
public record WorkerEndpoint(String id, String address, int zone, int kind, int cell, EndpointState state, double size,
        long upSince) {

    /** What the list says of it; the command {@code members} prints these names. */
    public enum EndpointState {
        SERVING, DRAINING, GONE
    }
}
