/**
 * SRV records as a source of endpoints. TTLs, the cache, the choice of servers and what of a response is believed are
 * decided by classes without I/O; {@code StubResolver} and {@code DnsTransport} own the sockets. The design stands in
 * docs/design-dns.md.
 */
package wallmoor.dns;
