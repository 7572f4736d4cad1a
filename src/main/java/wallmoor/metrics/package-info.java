/**
 * Counts queries by outcome for the operators' address. The package does no I/O, reads no clock and does not depend on
 * the code that publishes the metrics.
 */
package wallmoor.metrics;
