/**
 * The I/O of the group of gatherers: datagrams, tables by TCP, and the control port. What a message means is decided in
 * {@code peers}.
 */
package wallmoor.peers.udp;
