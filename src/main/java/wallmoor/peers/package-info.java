/**
 * Group membership of the gatherers: who of them is there (SWIM, Lifeguard and Rapid; the rules stand in
 * docs/peers.md). Decides; no I/O, no clock, no threads, and no random source but its seed. Knows nothing of sockets
 * or of how a message is encoded.
 */
package wallmoor.peers;
