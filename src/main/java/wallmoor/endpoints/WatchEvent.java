package wallmoor.endpoints;

import java.util.List;

/** A source's report on its endpoints. {@code source} is the source's name in the registry's policy. */
public sealed interface WatchEvent {
    /** Returns the name of the source that reports. */
    String source();

    /**
     * All endpoints that the source knows (state of the world, in xDS terms).
     *
     * @param version       the source's name for this state, for the log, such as "revision 43"
     * @param authoritative whether endpoints that are missing here are gone according to the source, rather than only
     *                      not found by it
     */
    record EndpointSnapshot(String source, String version, List<SourceEndpoint> endpoints, boolean authoritative)
            implements
                WatchEvent {}

    /** The endpoints that have changed; those that are missing here are unchanged. */
    record EndpointDelta(String source, String version, List<SourceEndpoint> endpoints) implements WatchEvent {}

    /** A heartbeat: the source is alive, and its last report is still valid. */
    record EndpointsUnchanged(String source) implements WatchEvent {}

    /** A failure of the source: it can't be reached, or sent a malformed report. */
    record SourceFailure(String source, String reason) implements WatchEvent {}
}
