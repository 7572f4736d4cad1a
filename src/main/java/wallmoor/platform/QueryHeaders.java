package wallmoor.platform;

import wallmoor.http.HttpProtocolException;

/**
 * Reads the headers of a query. By hand: a pattern would be compiled anew for each query, and its classes loaded at
 * each
 * start.
 */
final class QueryHeaders {
    private static final int MAX_ID_LENGTH = 64;
    private static final int MAX_WHOLE_DIGITS = 12;
    private static final int MAX_FRACTION_DIGITS = 9;
    private static final double MICROS_PER_MILLI = 1_000;

    private QueryHeaders() {}

    /** Whether this is a request id: 1 to 64 visible ASCII characters. */
    static boolean isRequestId(String id) {
        for (int i = 0; i < id.length(); i++) {
            if (id.charAt(i) < '!' || id.charAt(i) > '~') {
                return false;
            }
        }
        return !id.isEmpty() && id.length() <= MAX_ID_LENGTH;
    }

    /** The microseconds that a client waits, by its header {@code X-Deadline}. */
    static long timeoutMicros(String value) throws HttpProtocolException {
        if (value == null || !isTime(value)) {
            throw new HttpProtocolException(400, "X-Deadline is absent or malformed");
        }
        double number = Double.parseDouble(value.substring(0, value.length() - 1));
        long micros = (long) (value.endsWith("m") ? MICROS_PER_MILLI * number : number);
        if (micros <= 0) {
            throw new HttpProtocolException(400, "X-Deadline is over");
        }
        return micros;
    }

    /** Up to 12 digits, up to 9 more after a dot, and {@code m} or {@code u}. */
    private static boolean isTime(String value) {
        int dot = value.indexOf('.');
        int unit = value.length() - 1;
        int whole = dot < 0 ? unit : dot;
        return (value.endsWith("m") || value.endsWith("u")) && areDigits(value, 0, whole) && whole <= MAX_WHOLE_DIGITS
                && (dot < 0 || (areDigits(value, dot + 1, unit) && unit - dot - 1 <= MAX_FRACTION_DIGITS));
    }

    /** Whether there is a character from here to there, and all are digits. */
    private static boolean areDigits(String value, int from, int to) {
        for (int i = from; i < to; i++) {
            if (value.charAt(i) < '0' || value.charAt(i) > '9') {
                return false;
            }
        }
        return from < to;
    }
}
