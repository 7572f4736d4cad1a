/**
 * The life of a device's query, from the first request to the time its outcome is forgotten. Decides only: no I/O, no
 * clock, no threads. The rules stand in docs/exchange.md.
 */
package wallmoor.idempotency;
