/**
 * Connections to calendar nodes: the frames on them, their states, and the bound on their number. Network code, with no
 * policy.
 */
package wallmoor.frames;
