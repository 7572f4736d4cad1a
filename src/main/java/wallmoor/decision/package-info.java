/**
 * All decisions about queries, parts and workers. {@link wallmoor.decision.RoutingPolicy} takes events and returns
 * {@link wallmoor.decision.RoutingActions}; it is single-threaded, with no clock and no I/O: equal events after an
 * equal start give equal actions. The design stands in docs/design.md, the tuned values in {@link
 * wallmoor.decision.TuningParameters}.
 */
package wallmoor.decision;
