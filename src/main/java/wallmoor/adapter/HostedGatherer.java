package wallmoor.adapter;

import java.util.List;
import wallmoor.decision.LoadMetric;
import wallmoor.decision.RoutingPolicy;

/**
 * One gatherer that the simulator runs here.
 *
 * @param number  by which the simulator names it
 * @param columns what each column of a load report is
 */
record HostedGatherer(int number, RoutingPolicy policy, List<LoadMetric> columns) {}
