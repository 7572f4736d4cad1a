package wallmoor.core;

/**
 * An entry of the endpoint list, which describes a worker.
 *
 * @param id      the worker's id, which is the same at every gatherer
 * @param address the address at which it listens; this package only passes it on
 * @param zone    the network zone that it is in
 * @param kind    the kind of host that it runs on
 * @param cell    the cell of replicas that it belongs to, which determines the shards that it holds
 * @param state   its state in the list
 * @param size    its capacity relative to other workers; 1 is the standard capacity
 * @param upSince the time of its last start, microseconds of Unix time; 0 for long ago
 */
public record WorkerEndpoint(String id, String address, int zone, int kind, int cell, EndpointState state, double size,
        long upSince) {

    /** The state of a worker in the list; the command {@code members} prints these names. */
    public enum EndpointState {
        SERVING, DRAINING, GONE
    }
}
