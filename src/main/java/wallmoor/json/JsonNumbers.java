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
        if (i < to && bytes[i] == '.') {
            start = i + 1;
            i = skipDigits(bytes, start, to);
            if (i == start) {
                return false;
            }
        }
        if (i < to && (bytes[i] == 'e' || bytes[i] == 'E')) {
            start = i + (i + 1 < to && (bytes[i + 1] == '+' || bytes[i + 1] == '-') ? 2 : 1);
            i = skipDigits(bytes, start, to);
            if (i == start) {
                return false;
            }
        }
        return i == to;
    }

    private static int skipDigits(byte[] bytes, int from, int to) {
        int i = from;
        while (i < to && bytes[i] >= '0' && bytes[i] <= '9') {
            i++;
        }
        return i;
    }
}
