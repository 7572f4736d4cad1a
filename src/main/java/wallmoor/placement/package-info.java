/**
 * Plans which blocks move between nodes, and in which order, so that the fewest bytes are copied. The code is pure: it
 * uses no I/O, clock, threads or random source. The rules and the planning algorithm are described in
 * docs/placement.md.
 */
package wallmoor.placement;
