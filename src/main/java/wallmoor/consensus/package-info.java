/**
 * The I/O of the consensus on rules: the replicated log of a Raft library among three or five voting members, its
 * encoding on the wire and on disk, leases for all gatherers, and the thread that drives the decision logic of {@code
 * wallmoor.rules}. The only decision made in this package is when a voting member that lost its durable state may vote
 * again ({@link wallmoor.consensus.RejoiningVoter}).
 *
 * <p>
 * {@link wallmoor.consensus.ConsensusService} connects the components: {@code LeaseSession} renews the lease of this
 * gatherer, {@code VotingMember} is one server of the Raft group, {@code TcpTransport} owns the connections, and {@code
 * DurableStore} owns the files.
 */
package wallmoor.consensus;
