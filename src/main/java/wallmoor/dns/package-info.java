/**
 * SRV records as a source of nodes. Lifetimes, the cache, the choice of servers and what of a reply is believed are
 * decided by classes without I/O; {@code Resolver} owns the sockets. The design stands in docs/design-dns.md.
 */
package wallmoor.dns;
