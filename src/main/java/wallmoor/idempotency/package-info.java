/**
 * Idempotent requests of devices: deduplication by idempotency key, stored outcomes, quotas and retention. Decides
 * only: no I/O, no clock, no threads. The rules stand in docs/exchange.md.
 */
package wallmoor.idempotency;
