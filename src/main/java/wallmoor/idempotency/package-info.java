/**
 * Idempotent requests of devices: deduplication by idempotency key, stored outcomes, quotas and retention. Pure logic
 * without I/O, a clock or threads. docs/exchange.md describes the rules.
 */
package wallmoor.idempotency;
