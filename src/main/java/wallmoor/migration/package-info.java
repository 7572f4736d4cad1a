/**
 * Carries moves of blocks out: which step of which move comes next, what is asked of which node, and what a node may do
 * with what it is asked. Decides; no I/O, no clock, no threads. All that must outlive a process stands in the document
 * {@code plan} or is said by the nodes. The rules stand in docs/moves.md.
 */
package wallmoor.migration;
