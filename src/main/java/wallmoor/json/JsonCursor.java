package wallmoor.json;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import wallmoor.json.Json.Malformed;

/**
 * A cursor over the JSON text in a slice of a buffer. Its caller moves it from value to value, keeps what it needs and
 * skips the rest; a skipped value takes no memory, whatever it holds. Each method checks the syntax of what it reads.
 * Where a value is expected, the cursor is at the value's first byte.
 */
public final class JsonCursor {
    /** Deeper nesting is rejected, because the threads that parse have small stacks. */
    private static final int MAX_DEPTH = 64;
    /** The most digits that an integer may have to be read as a {@link Long}. */
    private static final int MAX_LONG_DIGITS = 18;

    private final byte[] buffer;
    private final int end;
    /** The index of the next byte to read. */
    private int position;
    /** The number of objects and lists that have been entered and not left. */
    private int depth;

    /** Creates a cursor at the first value of a slice. */
    public JsonCursor(byte[] buffer, int from, int length) {
        this.buffer = buffer;
        this.position = from;
        this.end = from + length;
        peek();
    }

    /** Returns the index in the buffer of the next byte. */
    int position() {
        return position;
    }

    /** Returns whether the next value is an object. */
    public boolean isAtObject() {
        return peek() == '{';
    }

    /** Returns whether the next value is a list. */
    public boolean isAtList() {
        return peek() == '[';
    }

    /** Enters the object at the cursor; returns false, and leaves it, if it has no member. */
    public boolean enterObject() throws Malformed {
        return enter('{', '}');
    }

    /** Enters the list at the cursor; returns false, and leaves it, if it has no element. */
    public boolean enterList() throws Malformed {
        return enter('[', ']');
    }

    private boolean enter(char open, char close) throws Malformed {
        checkDepth();
        expect(open);
        if (peek() == close) {
            position++;
            return false;
        }
        depth++;
        return true;
    }

    /** Moves behind a member's value: to the next member, or out of the object, which returns false. */
    public boolean nextMember() throws Malformed {
        return next('}');
    }

    /** Moves behind an element: to the next one, or out of the list, which returns false. */
    public boolean nextElement() throws Malformed {
        return next(']');
    }

    private boolean next(char close) throws Malformed {
        int c = peek();
        if (c != ',' && c != close) {
            throw malformed("',' or '" + close + "' is missing");
        }
        position++;
        if (c == close) {
            depth--;
        }
        return c == ',';
    }

    /** Reads the name of the member at the cursor and moves to its value. */
    public String readMemberName() throws Malformed {
        expectName();
        String name = readString();
        moveToValue();
        return name;
    }

    /** Reads the name of the member at the cursor, which is returned if it is one of these, else null. */
    public String readMemberName(List<String> names) throws Malformed {
        expectName();
        int from = position + 1;
        skipString();
        String name = null;
        for (int i = 0; i < names.size(); i++) { // an iterator for each name would cost more than the name
            name = isAt(from, position - 1, names.get(i)) ? names.get(i) : name;
        }
        moveToValue();
        return name;
    }

    private void expectName() throws Malformed {
        if (peek() != '"') {
            throw malformed("a member name is missing");
        }
    }

    private void moveToValue() throws Malformed {
        expect(':');
        peek();
    }

    /** Returns whether the content of a string in this range is this ASCII text. */
    private boolean isAt(int from, int to, String text) throws Malformed {
        for (int i = from; i < to; i++) {
            if (buffer[i] == '\\') { // rare: a name in which a character is escaped
                return new JsonCursor(buffer, from - 1, to - from + 2).readString().equals(text);
            }
        }
        if (to - from != text.length()) {
            return false;
        }
        for (int i = 0; i < text.length(); i++) {
            if (buffer[from + i] != text.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Reads a string, a number ({@link Long} or {@link Double}), a boolean or null. */
    public Object readScalar() throws Malformed {
        checkDepth();
        return switch (peek()) {
            case '"' -> readString();
            case 't' -> literal("true", true);
            case 'f' -> literal("false", false);
            case 'n' -> literal("null", null);
            default -> readNumber();
        };
    }

    /** Skips the value at the cursor. */
    public void skip() throws Malformed {
        switch (peek()) {
            case '{' -> {
                for (boolean more = enterObject(); more; more = nextMember()) {
                    readMemberName(List.of());
                    skip();
                }
            }
            case '[' -> {
                for (boolean more = enterList(); more; more = nextElement()) {
                    skip();
                }
            }
            case '"' -> {
                checkDepth();
                skipString();
            }
            case 't', 'f', 'n' -> readScalar();
            default -> {
                checkDepth();
                skipNumber();
            }
        }
    }

    /** Checks that nothing but white space follows. */
    public void expectEnd() throws Malformed {
        if (peek() >= 0) {
            throw malformed("unexpected content after the value");
        }
    }

    private void checkDepth() throws Malformed {
        if (depth > MAX_DEPTH) {
            throw malformed("nested deeper than " + MAX_DEPTH + " levels");
        }
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

    private Object readNumber() throws Malformed {
        int from = position;
        boolean isInteger = skipNumber();
        String digits = new String(buffer, from, position - from, StandardCharsets.ISO_8859_1);
        if (isInteger && digits.length() <= MAX_LONG_DIGITS) {
            return Long.parseLong(digits);
        }
        return Double.parseDouble(digits);
    }

    /** Skips a number; returns whether it has neither a fraction nor an exponent. */
    private boolean skipNumber() throws Malformed {
        int from = position;
        boolean isInteger = true;
        while (position < end && "+-.0123456789eE".indexOf(buffer[position]) >= 0) {
            isInteger &= buffer[position] != '.' && buffer[position] != 'e' && buffer[position] != 'E';
            position++;
        }
        if (!JsonNumbers.isNumber(buffer, from, position)) {
            throw malformed("not a JSON value");
        }
        return isInteger;
    }

    private String readString() throws Malformed {
        int from = ++position;
        while (position < end && buffer[position] != '"' && buffer[position] != '\\'
                && (buffer[position] & 0xff) >= ' ') {
            position++;
        }
        if (position < end && buffer[position] == '"') {
            return new String(buffer, from, position++ - from, StandardCharsets.UTF_8);
        }
        var decoded = new ByteArrayOutputStream();
        decoded.write(buffer, from, position - from);
        while (true) {
            byte c = nextInString();
            if (c == '"') {
                return decoded.toString(StandardCharsets.UTF_8);
            }
            if (c == '\\') {
                decoded.writeBytes(Character.toString(escapeSequence()).getBytes(StandardCharsets.UTF_8));
            } else {
                decoded.write(c);
            }
        }
    }

    private void skipString() throws Malformed {
        position++;
        for (byte c = nextInString(); c != '"'; c = nextInString()) {
            if (c == '\\') {
                escapeSequence();
            }
        }
    }

    private byte nextInString() throws Malformed {
        if (position >= end || (buffer[position] & 0xff) < ' ') {
            throw malformed("unterminated string");
        }
        return buffer[position++];
    }

    /** Reads an escape sequence behind its backslash; returns the character's code point. */
    private int escapeSequence() throws Malformed {
        int c = position < end ? buffer[position++] : -1;
        int simple = "\"\\/bfnrt".indexOf(c);
        if (simple >= 0 && c >= 0) {
            return "\"\\/\b\f\n\r\t".charAt(simple);
        }
        if (c != 'u') {
            throw malformed("unknown escape sequence");
        }
        char unit = codeUnit();
        if (Character.isHighSurrogate(unit) && position + 1 < end && buffer[position] == '\\'
                && buffer[position + 1] == 'u') {
            int secondUnitAt = position;
            position += 2;
            char second = codeUnit();
            if (Character.isLowSurrogate(second)) {
                return Character.toCodePoint(unit, second);
            }
            position = secondUnitAt;
        }
        return unit;
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
