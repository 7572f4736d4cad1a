/**
 * Deterministic simulation of a group: a network, clocks and processes on one thread, with fault injection and a
 * checker of invariants. It drives the real deciders of {@code rules} and {@code peers}; the same seed gives the same
 * run. Never used by {@code serve}.
 */
package wallmoor.simulation;
