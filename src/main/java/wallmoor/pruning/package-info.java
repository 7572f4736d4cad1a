/**
 * Requests leases on the summaries of sites and decides for each query which sites are pruned. This package owns the
 * connections, the threads and the clock; {@code summaries} decides which summary is valid and what it excludes.
 */
package wallmoor.pruning;
