package wallmoor.dns;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A target of an SRV record (RFC 2782) with all that DNS says of it.
 *
 * @param name      without the dot at its end
 * @param addresses in order, IPv4 where there is any, else IPv6
 * @param text      its TXT records as keys and values (RFC 6763 section 6), the keys in lower case
 * @param ttlMillis the least TTL that is left of the records it was made of
 */
public record ServiceTarget(String name, List<String> addresses, int port, int priority, int weight,
        Map<String, String> text, long ttlMillis) {

    /** All but the TTL, as a text that is equal where they are. */
    String facts() {
        return name + " " + addresses + " " + port + " " + priority + " " + weight + " " + new TreeMap<>(text);
    }

    /** An address and a port as HOST:PORT. */
    public static String hostPort(String address, int port) {
        return (address.indexOf(':') >= 0 ? "[" + address + "]" : address) + ":" + port;
    }
}
