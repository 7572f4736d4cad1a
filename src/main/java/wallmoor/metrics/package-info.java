/**
 * The one place that counts. No I/O and no clock; it knows nothing of who asks for the figures or how they are told.
 */
package wallmoor.metrics;
