package wallmoor.dns;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A target of an SRV record (RFC 2782) with its addresses and TXT record.
 *
 * @param name      the target's name, without the trailing dot
 * @param addresses the sorted addresses: the IPv4 addresses if there are any, else the IPv6 addresses
 * @param text      the pairs of its TXT records as keys and values (RFC 6763 section 6), the keys in lower case
 * @param ttlMillis the least remaining TTL of the records that it was made of
 */
public record ServiceTarget(String name, List<String> addresses, int port, int priority, int weight,
        Map<String, String> text, long ttlMillis) {

    /** Returns all members but the TTL as a text, for comparison. */
    String facts() {
        return name + " " + addresses + " " + port + " " + priority + " " + weight + " " + new TreeMap<>(text);
    }

    /** Formats an address and a port as HOST:PORT, with an IPv6 address in brackets. */
    public static String hostPort(String address, int port) {
        return (address.indexOf(':') >= 0 ? "[" + address + "]" : address) + ":" + port;
    }
}
