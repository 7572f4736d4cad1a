package wallmoor.adapter;

import java.util.List;
import wallmoor.decision.LoadMetric;
import wallmoor.decision.RoutingPolicy;

/**
 * A gatherer of the simulator whose routing policy runs in this process.
 *
 * @param number  the simulator's number of the gatherer
 * @param columns the metric of each column of a load report
 */
record HostedGatherer(int number, RoutingPolicy policy, List<LoadMetric> columns) {}
