/**
 * The edge for devices on poor links: one state behind all its fronts. It owns the threads that run queries and the
 * timers; what a request comes to is decided in {@code exchange}.
 */
package wallmoor.edge;
