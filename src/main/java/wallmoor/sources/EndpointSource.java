package wallmoor.sources;

import java.util.List;
import java.util.function.Consumer;
import wallmoor.endpoints.SourceEndpoint;
import wallmoor.endpoints.WatchEvent;

/**
 * Where nodes are learnt of. A source does the I/O and tells what it found; what that means is the roster's to decide.
 * It tells nothing while it is being made, and goes on trying by itself, whatever fails.
 */
public interface EndpointSource {
    /** Its name in the roster's policy. */
    String name();

    /** What it holds before it is started, told before all else and asked for once; empty where it holds nothing. */
    default List<SourceEndpoint> initialEndpoints() {
        return List.of();
    }

    /** Begins to tell, on threads of its own. */
    void start(Consumer<WatchEvent> to);
}
