/**
 * The registry of worker endpoints: which endpoints there are, by what several ranked sources claim. Decides only: no
 * I/O, no clock, no threads. The rules for disagreement stand in docs/membership.md.
 */
package wallmoor.endpoints;
