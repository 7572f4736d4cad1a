package wallmoor.json;

import java.nio.charset.StandardCharsets;

/** The grammar of JSON numbers. */
final class JsonNumbers {
    private JsonNumbers() {}

    /** Returns whether a text is a JSON number. */
    static boolean isNumber(String s) {
        byte[] bytes = s.getBytes(StandardCharsets.ISO_8859_1);
        return isNumber(bytes, 0, bytes.length);
    }

    /**
     * Returns whether the bytes of a range match {@code -?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?}. It is checked
     * by hand, so that the program does not compile a pattern at each start.
     */
    static boolean isNumber(byte[] bytes, int from, int to) {
        int start = from < to && bytes[from] == '-' ? from + 1 : from;
        int i = skipDigits(bytes, start, to);
        if (i == start || (i > start + 1 && bytes[start] == '0')) {
            return false;
        }
        int afterFraction = skipFraction(bytes, i, to);
        return afterFraction >= 0 && skipExponent(bytes, afterFraction, to) == to;
    }

    /** Returns the index after the fraction at an index, the index itself if there is none, or -1 for a faulty one. */
    private static int skipFraction(byte[] bytes, int from, int to) {
        if (from >= to || bytes[from] != '.') {
            return from;
        }
        int i = skipDigits(bytes, from + 1, to);
        return i == from + 1 ? -1 : i;
    }

    /** Returns the index after the exponent at an index, the index itself if there is none, or -1 for a faulty one. */
    private static int skipExponent(byte[] bytes, int from, int to) {
        if (from >= to || (bytes[from] != 'e' && bytes[from] != 'E')) {
            return from;
        }
        int digits = from + (from + 1 < to && (bytes[from + 1] == '+' || bytes[from + 1] == '-') ? 2 : 1);
        int i = skipDigits(bytes, digits, to);
        return i == digits ? -1 : i;
    }

    private static int skipDigits(byte[] bytes, int from, int to) {
        int i = from;
        while (i < to && bytes[i] >= '0' && bytes[i] <= '9') {
            i++;
        }
        return i;
    }
}
