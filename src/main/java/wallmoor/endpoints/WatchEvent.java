package wallmoor.endpoints;

import java.util.List;

/** What a source has to tell, at a time. {@code source} is its name in the roster's policy. */
public sealed interface WatchEvent {
    /** Who tells. */
    String source();

    /**
     * All nodes that the source knows.
     *
     * @param version  what the source calls this state of things, for the log ("revision 43")
     * @param authoritative the source itself says that what is not here is gone, rather than that it found no more
     */
    record EndpointSnapshot(String source, String version, List<SourceEndpoint> endpoints,
            boolean authoritative) implements WatchEvent {}

    /** The nodes that have changed; what is not here is as it was. */
    record EndpointDelta(String source, String version, List<SourceEndpoint> endpoints) implements WatchEvent {}

    /** The source still says what it said. */
    record EndpointsUnchanged(String source) implements WatchEvent {}

    /** The source can't be heard, or makes no sense: it says nothing. */
    record SourceFailure(String source, String reason) implements WatchEvent {}
}
