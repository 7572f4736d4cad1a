package wallmoor.sources;

import java.util.List;
import java.util.function.Consumer;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;

/**
 * A source of endpoints, such as DNS or discovery's endpoint list. It does the I/O and reports the endpoints that it
 * finds; the registry decides which of them are used. A source reports nothing before it is started, and retries after
 * any failure.
 */
public interface EndpointSource {
    /** The name of the source for discovery's endpoint list. */
    String ENDPOINT_LIST = "list";

    /** Returns the source's name in the registry's policy. */
    String name();

    /** Returns the endpoints that it knows before it is started. Called once, before any event is applied. */
    default List<SourceEndpoint> initialEndpoints() {
        return List.of();
    }

    /** Starts reporting to the listener, on threads of the source. */
    void start(Consumer<WatchEvent> listener);
}
