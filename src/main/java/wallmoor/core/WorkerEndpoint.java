package wallmoor.core;

/**
 * A worker as a list names it.
 *
 * @param address  where it listens; the core only hands it on
 * @param upSince  microseconds of Unix time of its last start, or 0 for long ago
 */
public record WorkerEndpoint(String id, String address, int zone, int kind, int cell, EndpointState state, double size,
        long upSince) {

    /** What the list says of it. */
    public enum EndpointState { SERVING, DRAINING, GONE }
}
