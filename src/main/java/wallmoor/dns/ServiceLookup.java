package wallmoor.dns;

import java.util.List;

/** The result of looking up a service. */
public sealed interface ServiceLookup {

    /**
     * The service's targets.
     *
     * @param targets   those of which an address was found
     * @param faults    what is wrong with the others, in words that name them
     * @param ttlMillis until it should be looked up again at the latest
     */
    record Resolved(List<ServiceTarget> targets, List<String> faults, long ttlMillis) implements ServiceLookup {}

    /** The one target is the root: the service is decidedly not available there (RFC 2782). */
    record NotOffered(long ttlMillis) implements ServiceLookup {}

    /** No such records; {@code reason} is NXDOMAIN or NODATA. */
    record NoService(String reason, long ttlMillis) implements ServiceLookup {}

    /** No useful response. */
    record ServiceLookupFailure(String reason) implements ServiceLookup {}
}
