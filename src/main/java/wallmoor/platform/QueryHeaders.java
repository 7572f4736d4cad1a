package wallmoor.platform;

import wallmoor.http.HttpProtocolException;

/**
 * Parses the headers of a query. Regular expressions are avoided, as they would be compiled for each query and their
 * classes loaded at each start.
 */
final class QueryHeaders {
    private static final int MAX_ID_LENGTH = 64;
    private static final int MAX_KEY_LENGTH = 255;
    private static final int MAX_INTEGER_DIGITS = 12;
    private static final int MAX_FRACTION_DIGITS = 9;
    private static final double MICROS_PER_MILLI = 1_000;

    private QueryHeaders() {}

    /** Returns whether a text is a valid request id: 1 to 64 visible ASCII characters. */
    static boolean isRequestId(String id) {
        return isVisibleAscii(id) && id.length() <= MAX_ID_LENGTH;
    }

    /**
     * Returns the idempotency key from the header {@code Idempotency-Key}, or null if the client sent none: 1 to 255
     * visible ASCII characters without a comma, which separates the fields of a frame.
     */
    static String idempotencyKey(String value) throws HttpProtocolException {
        if (value != null
                && (!isVisibleAscii(value) || value.indexOf(',') >= 0 || value.length() > MAX_KEY_LENGTH)) {
            throw new HttpProtocolException(400, "Idempotency-Key is malformed: 1 to " + MAX_KEY_LENGTH
                    + " visible ASCII characters without a comma are allowed");
        }
        return value;
    }

    private static boolean isVisibleAscii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < '!' || text.charAt(i) > '~') {
                return false;
            }
        }
        return !text.isEmpty();
    }

    /** Returns the timeout of a client in microseconds, parsed from its header {@code X-Deadline}. */
    static long timeoutMicros(String value) throws HttpProtocolException {
        if (value == null || !isDuration(value)) {
            throw new HttpProtocolException(400, "X-Deadline is absent or malformed");
        }
        double number = Double.parseDouble(value.substring(0, value.length() - 1));
        long micros = (long) (value.endsWith("m") ? MICROS_PER_MILLI * number : number);
        if (micros <= 0) {
            throw new HttpProtocolException(400, "X-Deadline is over");
        }
        return micros;
    }

    /**
     * Returns whether a text is a duration: up to 12 digits, optionally a dot and up to 9 more, then the unit {@code m}
     * (milliseconds) or {@code u} (microseconds).
     */
    private static boolean isDuration(String value) {
        int dot = value.indexOf('.');
        int unitIndex = value.length() - 1;
        int integerEnd = dot < 0 ? unitIndex : dot;
        return (value.endsWith("m") || value.endsWith("u")) && areDigits(value, 0, integerEnd)
                && integerEnd <= MAX_INTEGER_DIGITS
                && (dot < 0 || (areDigits(value, dot + 1, unitIndex) && unitIndex - dot - 1 <= MAX_FRACTION_DIGITS));
    }

    /** Returns whether a non-empty range of a text has digits only. */
    private static boolean areDigits(String value, int from, int to) {
        for (int i = from; i < to; i++) {
            if (value.charAt(i) < '0' || value.charAt(i) > '9') {
                return false;
            }
        }
        return from < to;
    }
}
