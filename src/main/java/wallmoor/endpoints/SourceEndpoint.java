package wallmoor.endpoints;

import wallmoor.core.WorkerEndpoint;

/**
 * An endpoint as one source reports it.
 *
 * @param id      the endpoint's identity: two entries with one id are one endpoint, whatever their addresses
 * @param address the address on which it listens, as HOST:PORT
 * @param zone    the index of its zone
 * @param kind    the index of its machine kind
 * @param cell    the cell whose data it has
 * @param state   the state that the source reports
 * @param size    its capacity relative to that of a usual endpoint, which is 1
 * @param upSince microseconds of Unix time of its last start, 0 for long ago, or {@link #UNKNOWN_START}
 * @param tier    its priority for the cell (an SRV priority, RFC 2782): endpoints of higher tiers are on standby while
 *                a lower tier serves
 */
public record SourceEndpoint(String id, String address, int zone, int kind, int cell,
        WorkerEndpoint.EndpointState state, double size,
        long upSince, int tier) {
    /** The value of {@code upSince} where the source does not report when the endpoint started. */
    public static final long UNKNOWN_START = -1;

    /** Returns whether the source reports that the endpoint is gone. */
    boolean isGone() {
        return state == WorkerEndpoint.EndpointState.GONE;
    }

    /** Returns a copy of this endpoint in the state GONE. */
    SourceEndpoint asGone() {
        return new SourceEndpoint(id, address, zone, kind, cell, WorkerEndpoint.EndpointState.GONE, size, upSince,
                tier);
    }
}
