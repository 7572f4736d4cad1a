/**
 * The group of gatherers: who of them is there. Decides; no I/O, no clock, no threads, and no random source but its
 * seed. Knows nothing of sockets or of how a message is written. The rules stand in docs/peers.md.
 */
package wallmoor.peers;
