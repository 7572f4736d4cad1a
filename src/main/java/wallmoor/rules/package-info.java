/**
 * Rules that all gatherers agree on: which version of a document acts, who may act on it until when, and what one goes
 * by that may not be sure. Decides; no I/O, no clock, no threads. Knows nothing of the log that orders its entries but
 * that there is one order. The promise and its proof stand in docs/versions.md.
 */
package wallmoor.rules;
