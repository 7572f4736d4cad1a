/**
 * Consensus on rules, the I/O round it: a Raft library's replicated log among three or five voting members, its bytes
 * on the wire and on disk, leases for all gatherers, and the thread that drives the deciders of {@code wallmoor.rules}.
 * The package holds no rule of its own but one: when a voting member that lost its durable state may vote again
 * ({@link wallmoor.consensus.RejoiningVoter}).
 *
 * <p>
 * {@link wallmoor.consensus.ConsensusService} puts the parts together: {@code LeaseSession} keeps this gatherer's lease
 * renewed, {@code VotingMember} is one server of the Raft group, {@code TcpTransport} has the connections,
 * {@code DurableStore} the files.
 */
package wallmoor.consensus;
