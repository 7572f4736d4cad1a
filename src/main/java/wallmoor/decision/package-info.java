/**
 * All decisions about queries, parts and workers. {@link wallmoor.decision.RoutingPolicy} receives events and responds
 * with {@link wallmoor.decision.RoutingActions}; it is single-threaded and has no clock and no I/O: equal events after
 * an equal start give equal actions. The design is described in docs/design.md, and the constants are in {@link
 * wallmoor.decision.TuningParameters}.
 */
package wallmoor.decision;
