/**
 * Versioned rule documents on which all gatherers agree: a state machine replicated by a Raft log decides which version
 * of each document is accepted and active, and leases limit how long a gatherer may act on the versions that it knows.
 * The package has no I/O, clock or threads, and requires of the log only a total order and a barrier. docs/versions.md
 * has the guarantee and its proof.
 */
package wallmoor.rules;
