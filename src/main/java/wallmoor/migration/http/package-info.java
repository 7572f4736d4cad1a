/**
 * I/O of migrations: requests to nodes over HTTP, and the stores of the plan, in a directory or agreed on by gatherers.
 * Decisions about migrations are in {@code migration}. This package does not depend on queries.
 */
package wallmoor.migration.http;
