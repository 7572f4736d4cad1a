/**
 * Carries requests about moves to nodes and keeps the plan in a directory. It holds no rule: those are in {@code
 * moves}. It knows nothing of queries.
 */
package wallmoor.migration.http;
