/**
 * SRV records as a source of endpoints. Classes without I/O decide on TTLs, caching, the choice of servers and which
 * records of a response to accept; {@code StubResolver} and {@code DnsTransport} own the sockets. The design is
 * described in docs/design-dns.md.
 */
package wallmoor.dns;
