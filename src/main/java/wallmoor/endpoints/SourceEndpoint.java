package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * An endpoint as one source names it.
 *
 * @param id      its identity: two entries of one id are one endpoint, whatever their addresses
 * @param address where it listens, as HOST:PORT
 * @param zone    the index of its zone
 * @param kind    the index of its machine kind
 * @param cell    the cell whose data it holds
 * @param state   what the source says of it
 * @param size    its capacity relative to the others; 1 is usual
 * @param upSince microseconds of Unix time of its last start, 0 for long ago, or {@link #UNKNOWN_START}
 * @param tier    the lower the better (an SRV priority, RFC 2782): an endpoint of a higher tier is on standby for its
 *                cell
 */
public record SourceEndpoint(String id, String address, int zone, int kind, int cell,
        WorkerEndpoint.EndpointState state, double size,
        long upSince, int tier) {
    /** The source does not tell when the endpoint started. */
    public static final long UNKNOWN_START = -1;

    /** Whether the source says that the endpoint is gone. */
    boolean isGone() {
        return state == WorkerEndpoint.EndpointState.GONE;
    }

    /** The same endpoint, gone. */
    SourceEndpoint asGone() {
        return new SourceEndpoint(id, address, zone, kind, cell, WorkerEndpoint.EndpointState.GONE, size, upSince,
                tier);
    }
}
