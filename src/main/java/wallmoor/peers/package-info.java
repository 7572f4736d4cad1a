/**
 * Group membership of the gatherers: which gatherers are present, decided with the methods of SWIM, Lifeguard and Rapid
 * (docs/peers.md has the rules). The package has no I/O, clock or threads, and its only random source is seeded by the
 * caller. It does not depend on sockets or on the encoding of messages.
 */
package wallmoor.peers;
