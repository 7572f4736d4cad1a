package wallmoor.service;

import java.util.List;
import wallmoor.config.LaunchConfig;
import wallmoor.config.OperatorConfig;
import wallmoor.core.MonotonicClock;
import wallmoor.endpoints.EndpointStatus;
import wallmoor.endpoints.SourceStatus;
import wallmoor.json.Json;
import wallmoor.metrics.GathererMetrics;

/**
 * The nodes as a gatherer started now would see them.
 *
 * @param allSourcesHeard whether every source was heard
 */
public record EndpointPreview(List<EndpointStatus> nodes, List<SourceStatus> sources,
        boolean allSourcesHeard) {
    /** All changes of the first news are there by then. */
    private static final long SETTLE_MILLIS = 100;

    /** Asks the sources for at most so many milliseconds; no query is taken and no node connected to. */
    public static EndpointPreview at(LaunchConfig launch, OperatorConfig operator, long millis)
            throws Json.Malformed, InterruptedException {
        var nodes = CalendarNodes.of(launch, new MonotonicClock(), operator, new GathererMetrics());
        try {
            nodes.start();
            boolean heard = nodes.membership().awaitSync(millis);
            Thread.sleep(SETTLE_MILLIS);
            return new EndpointPreview(nodes.membership().endpointStatuses(), nodes.membership().sourceStatuses(),
                    heard);
        } finally {
            nodes.close();
        }
    }
}
