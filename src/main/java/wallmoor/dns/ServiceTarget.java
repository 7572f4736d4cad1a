package wallmoor.dns;

import java.util.List;
import java.util.Map;

/**
 * A target of an SRV record with all that DNS says of it.
 *
 * @param name      without the dot at its end
 * @param addresses in order, IPv4 where there is any, else IPv6
 * @param text      its TXT records as keys and values (RFC 6763 section 6), the keys in lower case
 * @param ttlMillis       the least lifetime that is left of what was used, in milliseconds
 */
public record ServiceTarget(String name, List<String> addresses, int port, int priority, int weight,
        Map<String, String> text, long ttlMillis) {

    /** All but the lifetime, as a text that is equal where they are. */
    String facts() {
        return name + " " + addresses + " " + port + " " + priority + " " + weight + " "
                + new java.util.TreeMap<>(text);
    }

    /** A host as it stands in HOST:PORT. */
    public static String hostPort(String address, int port) {
        return (address.indexOf(':') >= 0 ? "[" + address + "]" : address) + ":" + port;
    }
}
