/**
 * The edge for devices on poor links. Its fronts, over HTTP and CoAP, share one state. This package owns the threads
 * that run queries, and the timers; {@code wallmoor.idempotency} decides how requests are answered.
 */
package wallmoor.edge;
