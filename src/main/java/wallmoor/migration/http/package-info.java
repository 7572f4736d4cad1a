/**
 * I/O of migrations: requests to nodes over HTTP, and the stores that keep the plan, in a directory or agreed on by
 * gatherers. No rule is decided here; those are in {@code migration}. Nothing here knows of queries.
 */
package wallmoor.migration.http;
