/**
 * Fetches what sites promise and tells traffic which of them may be left out now. It owns the connections, the threads
 * and the clock; which summary counts, and what one excludes, is decided in {@code summaries}.
 */
package wallmoor.pruning;
