/**
 * Decides which sites can have a row that matches a query. A site grants leases on a summary of its rows: while a lease
 * runs, the site widens the summary before it confirms a write that the summary does not cover. A gatherer prunes the
 * sites whose summaries exclude the query (docs/summaries.md). This package does no I/O, reads no clock and starts no
 * threads; callers pass times in microseconds.
 */
package wallmoor.summaries;
