/**
 * Connections to calendar nodes: their frames, their states and the limit on their number. Network code without routing
 * policy.
 */
package wallmoor.frames;
