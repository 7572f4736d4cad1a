package wallmoor.http;

import java.util.List;

/**
 * An HTTP request or response.
 *
 * @param method      the method of a request, or the empty string
 * @param target      the target of a request, or the empty string
 * @param status      the status of a response, or 0
 * @param headers     alternating names and values, in the order received
 * @param keepAlive   whether the connection may carry another message after this one
 * @param firstByteAt the time at which the first byte was received, by {@link System#nanoTime}
 */
public record HttpMessage(String method, String target, int status, List<String> headers, ByteSlice body,
        boolean keepAlive, long firstByteAt) {

    /** Returns the value of a header, or null; the case of the name is ignored. */
    public String header(String name) {
        return find(headers, name);
    }

    static String find(List<String> headers, String name) {
        for (int i = 0; i < headers.size(); i += 2) {
            if (headers.get(i).equalsIgnoreCase(name)) {
                return headers.get(i + 1);
            }
        }
        return null;
    }
}
