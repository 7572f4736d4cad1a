package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * A node as one source names it.
 *
 * @param id       who it is: two entries of one id are one node, whatever their addresses
 * @param address  where it listens, as HOST:PORT
 * @param size     its capacity beside that of others; 1 is usual
 * @param upSince  microseconds of Unix time of its last start, 0 for long ago, or {@link #UNKNOWN_START}
 * @param tier     the lower the better (an SRV priority, RFC 2782): a node of a higher tier stands by for its cell
 */
public record SourceEndpoint(String id, String address, int zone, int kind, int cell,
        WorkerEndpoint.EndpointState state, double size,
        long upSince, int tier) {
    /** The source does not tell when the node started. */
    public static final long UNKNOWN_START = -1;

    /** The node is told to be gone. */
    boolean isGone() {
        return state == WorkerEndpoint.EndpointState.GONE;
    }
}
