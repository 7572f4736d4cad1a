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
 * The endpoints that a gatherer would use if it were started now; a command prints them.
 *
 * @param allSourcesAnswered whether every source has answered
 */
public record EndpointPreview(List<EndpointStatus> nodes, List<SourceStatus> sources,
        boolean allSourcesAnswered) {
    /** The time to apply the changes of the sources' first answers. */
    private static final long SETTLE_MILLIS = 100;

    /**
     * Polls the sources for at most {@code millis} milliseconds. It accepts no query and connects to no node.
     *
     * @throws Json.Malformed if the configuration's last known list is malformed
     */
    public static EndpointPreview poll(LaunchConfig launch, OperatorConfig operator, long millis)
            throws Json.Malformed, InterruptedException {
        var nodes = CalendarNodes.of(launch, new MonotonicClock(), operator, new GathererMetrics());
        try {
            nodes.start();
            boolean isSynchronized = nodes.endpointUpdater().awaitSync(millis);
            Thread.sleep(SETTLE_MILLIS);
            return new EndpointPreview(nodes.endpointUpdater().endpointStatuses(),
                    nodes.endpointUpdater().sourceStatuses(), isSynchronized);
        } finally {
            nodes.close();
        }
    }
}
