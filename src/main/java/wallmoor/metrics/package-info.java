/**
 * Counts what becomes of queries, for the operators' address. No I/O and no clock; it knows nothing of who reads the
 * metrics.
 */
package wallmoor.metrics;
