package wallmoor.dns;

import java.util.List;

/** The result of looking up a service. */
public sealed interface ServiceLookup {

    /**
     * The service's targets.
     *
     * @param targets   the targets that can be used
     * @param faults    for each other target a message with its name and why it can't be used
     * @param ttlMillis the time after which to look the service up again at the latest
     */
    record Resolved(List<ServiceTarget> targets, List<String> faults, long ttlMillis) implements ServiceLookup {}

    /** The only target is the root: the service is explicitly not offered at this domain (RFC 2782). */
    record NotOffered(long ttlMillis) implements ServiceLookup {}

    /** The service has no SRV records; {@code reason} is NXDOMAIN or NODATA. */
    record NoService(String reason, long ttlMillis) implements ServiceLookup {}

    /** No server gave a useful response. */
    record ServiceLookupFailure(String reason) implements ServiceLookup {}
}
