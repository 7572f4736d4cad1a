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
 * The endpoints that a gatherer started now would use, for a command that shows them.
 *
 * @param allSourcesHeard whether every source has answered
 */
public record EndpointPreview(List<EndpointStatus> nodes, List<SourceStatus> sources,
        boolean allSourcesHeard) {
    /** All changes of the sources' first answers have been applied by then. */
    private static final long SETTLE_MILLIS = 100;

    /**
     * Polls the sources for at most {@code millis} milliseconds. No query is accepted and no node connected to.
     *
     * @throws Json.Malformed if the configuration's last known list is malformed
     */
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
