/**
 * The I/O of what gatherers agree on: a kept library's log among the voters, its bytes on the wire and on disk, and the
 * thread that drives the deciders of {@code versions}. It holds no rule of its own but one: when a voter that lost what
 * it kept may vote again ({@link wallmoor.consensus.RejoiningVoter}).
 */
package wallmoor.consensus;
