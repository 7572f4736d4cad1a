/**
 * I/O of the group of gatherers: datagrams over UDP, large tables over TCP, and the control port. The protocol itself
 * is in {@code peers}.
 */
package wallmoor.peers.udp;
