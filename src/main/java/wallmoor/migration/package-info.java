/**
 * Migration of blocks between storage nodes, without I/O, clock or threads: {@link
 * wallmoor.migration.MigrationCoordinator} drives all migrations of a plan as a deterministic state machine, and {@link
 * wallmoor.migration.ReplicaStateMachine} is the node's side of each request. All state that must survive a process is
 * in the replicated document {@code plan} ({@link wallmoor.migration.MigrationPlan}) or in the nodes' own {@link
 * wallmoor.migration.ReplicaRecord}s. Times are microseconds of any monotonic clock. The rules are in docs/moves.md.
 */
package wallmoor.migration;
