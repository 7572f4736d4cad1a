/**
 * Deterministic simulation of a group: a network, clocks and processes on one thread, with fault injection and a
 * checker of invariants. It runs the real state machines of {@code rules} and {@code peers}; the same seed gives the
 * same run. {@code serve} never uses it.
 */
package wallmoor.simulation;
