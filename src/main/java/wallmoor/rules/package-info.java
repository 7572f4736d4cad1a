/**
 * Versioned rule documents on which all gatherers agree: a state machine replicated by a Raft log decides which version
 * of each document is accepted and active, and leases bound for how long a gatherer may act on what it knows. Decides
 * only: no I/O, no clock, no threads, and nothing known of the log but that it has one order and a barrier. The promise
 * and its proof stand in docs/versions.md.
 */
package wallmoor.rules;
