package wallmoor.json;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A small JSON reader without dependencies. It reads a slice of a buffer in one pass into {@link Obj objects}, lists,
 * strings, numbers ({@link Long} or {@link Double}), booleans and null. An object knows its byte range, so that it can
 * be forwarded unchanged.
 */
public final class Json {
    /** Deeper nesting is rejected, because the threads that parse have small stacks. */
    private static final int MAX_DEPTH = 64;

    private final byte[] buffer;
    private final int end;
    /** The index of the next byte to read. */
    private int position;

    private Json(byte[] buffer, int from, int length) {
        this.buffer = buffer;
        this.position = from;
        this.end = from + length;
    }

    /** A JSON object and the byte ranges of itself and its members in the buffer. */
    public static final class Obj {
        private final Map<String, Object> members = new LinkedHashMap<>();
        private final Map<String, int[]> memberRanges = new LinkedHashMap<>();
        private int start;
        private int end;

        /** Returns the value of a member, or null if it is absent or null. */
        public Object get(String name) {
            return members.get(name);
        }

        /** Returns all members in the order of the text. */
        public Map<String, Object> members() {
            return members;
        }

        /** Returns by member name the start of its value in the buffer and the end, which is exclusive. */
        public Map<String, int[]> memberRanges() {
            return memberRanges;
        }

        /** Returns the index of the opening brace in the buffer. */
        public int start() {
            return start;
        }

        /** Returns the index after the closing brace in the buffer. */
        public int end() {
            return end;
        }

        /** Returns a string member, or null if it is absent or of another type. */
        public String text(String name) {
            return get(name) instanceof String s ? s : null;
        }

        /** Returns a number member, or the default if it is absent or of another type. */
        public double number(String name, double defaultValue) {
            return get(name) instanceof Number n ? n.doubleValue() : defaultValue;
        }

        /** Returns an array member, or null if it is absent or of another type. */
        public List<?> list(String name) {
            return get(name) instanceof List<?> l ? l : null;
        }
    }

    /** Thrown for text that is not valid JSON. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    /** Parses a slice that consists of one value. */
    public static Object parse(byte[] buffer, int from, int length) throws Malformed {
        var reader = new Json(buffer, from, length);
        Object value = reader.value(0);
        if (reader.peek() >= 0) {
            throw reader.malformed("unexpected content after the value");
        }
        return value;
    }

    /** Parses a slice that consists of one object. */
    public static Obj object(byte[] buffer, int from, int length) throws Malformed {
        if (parse(buffer, from, length) instanceof Obj o) {
            return o;
        }
        throw new Malformed("JSON: the value is not an object");
    }

    /** Appends a string as a quoted and escaped JSON string. */
    public static void quote(StringBuilder target, String s) {
        target.append('"');
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c == '"' || c == '\\') {
                target.append('\\').append(c);
            } else if (c < ' ') {
                target.append(String.format("\\u%04x", (int) c));
            } else {
                target.append(c);
            }
        }
        target.append('"');
    }

    private Object value(int depth) throws Malformed {
        if (depth > MAX_DEPTH) {
            throw malformed("nested deeper than " + MAX_DEPTH + " levels");
        }
        int c = peek();
        return switch (c) {
            case '{' -> object(depth);
            case '[' -> list(depth);
            case '"' -> string();
            case 't' -> literal("true", true);
            case 'f' -> literal("false", false);
            case 'n' -> literal("null", null);
            default -> number();
        };
    }

    private Obj object(int depth) throws Malformed {
        var object = new Obj();
        object.start = position++;
        if (peek() == '}') {
            position++;
        } else {
            do {
                if (peek() != '"') {
                    throw malformed("a member name is missing");
                }
                String name = string();
                expect(':');
                peek();
                int from = position;
                object.members.put(name, value(depth + 1));
                object.memberRanges.put(name, new int[] {from, position});
            } while (hasNextElement('}'));
        }
        object.end = position;
        return object;
    }

    private List<Object> list(int depth) throws Malformed {
        var list = new ArrayList<Object>();
        position++;
        if (peek() == ']') {
            position++;
            return list;
        }
        do {
            list.add(value(depth + 1));
        } while (hasNextElement(']'));
        return list;
    }

    /** Consumes a comma and returns true, or consumes the closing bracket and returns false. */
    private boolean hasNextElement(char close) throws Malformed {
        int c = peek();
        if (c != ',' && c != close) {
            throw malformed("',' or '" + close + "' is missing");
        }
        position++;
        return c == ',';
    }

    private void expect(char c) throws Malformed {
        if (peek() != c) {
            throw malformed("'" + c + "' is missing");
        }
        position++;
    }

    private Object literal(String literal, Object value) throws Malformed {
        for (int i = 0; i < literal.length(); i++) {
            if (position + i >= end || buffer[position + i] != literal.charAt(i)) {
                throw malformed("unknown literal, expected " + literal);
            }
        }
        position += literal.length();
        return value;
    }

    private Object number() throws Malformed {
        int from = position;
        boolean isInteger = true;
        while (position < end && "+-.0123456789eE".indexOf(buffer[position]) >= 0) {
            isInteger &= buffer[position] != '.' && buffer[position] != 'e' && buffer[position] != 'E';
            position++;
        }
        String digits = new String(buffer, from, position - from, StandardCharsets.ISO_8859_1);
        if (!isNumber(digits)) {
            throw malformed("not a JSON value");
        }
        if (isInteger && digits.length() <= 18) {
            return Long.parseLong(digits);
        }
        return Double.parseDouble(digits);
    }

    /**
     * Returns whether a text matches {@code -?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?}. It is checked by hand, so
     * that the program does not compile a pattern at each start.
     */
    static boolean isNumber(String s) {
        int from = s.startsWith("-") ? 1 : 0;
        int i = skipDigits(s, from);
        if (i == from || (i > from + 1 && s.charAt(from) == '0')) {
            return false;
        }
        if (i < s.length() && s.charAt(i) == '.') {
            from = i + 1;
            i = skipDigits(s, from);
            if (i == from) {
                return false;
            }
        }
        if (i < s.length() && (s.charAt(i) == 'e' || s.charAt(i) == 'E')) {
            from = i + (i + 1 < s.length() && (s.charAt(i + 1) == '+' || s.charAt(i + 1) == '-') ? 2 : 1);
            i = skipDigits(s, from);
            if (i == from) {
                return false;
            }
        }
        return i == s.length();
    }

    private static int skipDigits(String s, int from) {
        int i = from;
        while (i < s.length() && s.charAt(i) >= '0' && s.charAt(i) <= '9') {
            i++;
        }
        return i;
    }

    private String string() throws Malformed {
        int from = ++position;
        while (position < end && buffer[position] != '"' && buffer[position] != '\\'
                && (buffer[position] & 0xff) >= ' ') {
            position++;
        }
        if (position < end && buffer[position] == '"') {
            return new String(buffer, from, position++ - from, StandardCharsets.UTF_8);
        }
        var decoded = new java.io.ByteArrayOutputStream();
        decoded.write(buffer, from, position - from);
        while (true) {
            if (position >= end || (buffer[position] & 0xff) < ' ') {
                throw malformed("unterminated string");
            }
            byte c = buffer[position++];
            if (c == '"') {
                return decoded.toString(StandardCharsets.UTF_8);
            }
            if (c == '\\') {
                decoded.writeBytes(escapeSequence().getBytes(StandardCharsets.UTF_8));
            } else {
                decoded.write(c);
            }
        }
    }

    private String escapeSequence() throws Malformed {
        int c = position < end ? buffer[position++] : -1;
        int simple = "\"\\/bfnrt".indexOf(c);
        if (simple >= 0 && c >= 0) {
            return "\"\\/\b\f\n\r\t".substring(simple, simple + 1);
        }
        if (c != 'u') {
            throw malformed("unknown escape sequence");
        }
        char unit = codeUnit();
        if (Character.isHighSurrogate(unit) && position + 1 < end && buffer[position] == '\\'
                && buffer[position + 1] == 'u') {
            position += 2;
            return new String(new char[] {unit, codeUnit()});
        }
        return String.valueOf(unit);
    }

    private char codeUnit() throws Malformed {
        int unit = 0;
        for (int i = 0; i < 4; i++) {
            int digit = position < end ? Character.digit(buffer[position++], 16) : -1;
            if (digit < 0) {
                throw malformed("a Unicode escape needs 4 hexadecimal digits");
            }
            unit = unit << 4 | digit;
        }
        return (char) unit;
    }

    /** Skips white space and returns the next byte without consuming it, or -1 at the end. */
    private int peek() {
        while (position < end && (buffer[position] == ' ' || buffer[position] == '\n' || buffer[position] == '\r'
                || buffer[position] == '\t')) {
            position++;
        }
        return position < end ? buffer[position] & 0xff : -1;
    }

    private Malformed malformed(String problem) {
        return new Malformed("JSON: " + problem + " at byte " + position);
    }
}
