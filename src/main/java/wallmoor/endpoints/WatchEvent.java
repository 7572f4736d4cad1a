package wallmoor.endpoints;

import java.util.List;

/** What a source reports on its endpoints. {@code source} is its name in the registry's policy. */
public sealed interface WatchEvent {
    /** The name of the source that reports. */
    String source();

    /**
     * All endpoints that the source knows (the state of the world, in xDS's term).
     *
     * @param version       what the source calls this state, for the log ("revision 43")
     * @param authoritative whether the source itself says that what is missing here is gone, rather than that it found
     *                      no more
     */
    record EndpointSnapshot(String source, String version, List<SourceEndpoint> endpoints, boolean authoritative)
            implements
                WatchEvent {}

    /** The endpoints that have changed; what is missing here is as it was. */
    record EndpointDelta(String source, String version, List<SourceEndpoint> endpoints) implements WatchEvent {}

    /** A heartbeat: the source is alive, and what it last reported still holds. */
    record EndpointsUnchanged(String source) implements WatchEvent {}

    /** The source can't be reached, or sent something malformed: it says nothing. */
    record SourceFailure(String source, String reason) implements WatchEvent {}
}
