package wallmoor.sources;

import java.util.List;
import java.util.function.Consumer;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;

/**
 * Where endpoints are learnt of. A source does the I/O and reports what it found; what that means is the registry's to
 * decide. It reports nothing while it is being made, and retries by itself, whatever fails.
 */
public interface EndpointSource {
    /** The name of the source that is discovery's endpoint list. */
    String ENDPOINT_LIST = "list";

    /** Its name in the registry's policy. */
    String name();

    /** What it holds before it is started, applied before all else and asked for once; empty where it holds nothing. */
    default List<SourceEndpoint> initialEndpoints() {
        return List.of();
    }

    /** Begins to report, on threads of its own. */
    void start(Consumer<WatchEvent> listener);
}
