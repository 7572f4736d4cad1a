package wallmoor.http;

import java.util.List;

/**
 * A request or an answer.
 *
 * @param method   the request's, or the empty text
 * @param target   the request's, or the empty text
 * @param status   the answer's, or 0
 * @param headers  names and values in turn, as they came
 * @param keepAlive whether the connection may carry another message after this one
 * @param firstByteAt  {@link System#nanoTime} at which its first byte was read
 */
public record HttpMessage(String method, String target, int status, List<String> headers, ByteSlice body,
        boolean keepAlive, long firstByteAt) {

    /** The value of a header, or null. */
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
