package wallmoor.json;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A small JSON reader on the JDK alone. It reads a slice of a buffer once, into maps, lists, texts, numbers ({@link
 * Long} or {@link Double}), booleans and null. An object knows where it stood, so that it can be passed on as it came.
 */
public final class Json {
    /** Deeper nesting is refused: the threads that read have small stacks. */
    private static final int DEEPEST = 64;

    private final byte[] text;
    private final int end;
    private int at;

    private Json(byte[] text, int from, int length) {
        this.text = text;
        this.at = from;
        this.end = from + length;
    }

    /** An object and its place in the text. */
    public static final class Obj {
        private final Map<String, Object> members = new LinkedHashMap<>();
        private final Map<String, int[]> places = new LinkedHashMap<>();
        private int start;
        private int end;

        /** A member, or null where it is absent. */
        public Object get(String name) {
            return members.get(name);
        }

        /** All members, in order. */
        public Map<String, Object> members() {
            return members;
        }

        /** Where each member's value begins in the text, and where it ends. */
        public Map<String, int[]> places() {
            return places;
        }

        /** Where its opening brace stands. */
        public int start() {
            return start;
        }

        /** Where the text after it begins. */
        public int end() {
            return end;
        }

        /** A text, or null where it is absent or something else. */
        public String text(String name) {
            return get(name) instanceof String s ? s : null;
        }

        /** A number, or the other where it is absent or something else. */
        public double number(String name, double otherwise) {
            return get(name) instanceof Number n ? n.doubleValue() : otherwise;
        }

        /** A list, or null where it is absent or something else. */
        public List<?> list(String name) {
            return get(name) instanceof List<?> l ? l : null;
        }
    }

    /** Text that is not JSON. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    /** Reads one value that fills the slice. */
    public static Object parse(byte[] text, int from, int length) throws Malformed {
        var reader = new Json(text, from, length);
        Object value = reader.value(0);
        if (reader.peek() >= 0) {
            throw reader.bad("more after the value");
        }
        return value;
    }

    /** Reads an object that fills the slice. */
    public static Obj object(byte[] text, int from, int length) throws Malformed {
        if (parse(text, from, length) instanceof Obj o) {
            return o;
        }
        throw new Malformed("not an object");
    }

    /** Appends a text as JSON, with its quotes. */
    public static void quote(StringBuilder to, String s) {
        to.append('"');
        for (int i = 0; i < s.length(); i++) {
            char c = s.charAt(i);
            if (c == '"' || c == '\\') {
                to.append('\\').append(c);
            } else if (c < ' ') {
                to.append(String.format("\\u%04x", (int) c));
            } else {
                to.append(c);
            }
        }
        to.append('"');
    }

    private Object value(int depth) throws Malformed {
        if (depth > DEEPEST) {
            throw bad("nested too deeply");
        }
        int c = peek();
        return switch (c) {
            case '{' -> object(depth);
            case '[' -> list(depth);
            case '"' -> string();
            case 't' -> word("true", true);
            case 'f' -> word("false", false);
            case 'n' -> word("null", null);
            default -> number();
        };
    }

    private Obj object(int depth) throws Malformed {
        var object = new Obj();
        object.start = at++;
        if (peek() == '}') {
            at++;
        } else {
            do {
                if (peek() != '"') {
                    throw bad("a name is missing");
                }
                String name = string();
                expect(':');
                peek();
                int from = at;
                object.members.put(name, value(depth + 1));
                object.places.put(name, new int[] {from, at});
            } while (another('}'));
        }
        object.end = at;
        return object;
    }

    private List<Object> list(int depth) throws Malformed {
        var list = new ArrayList<Object>();
        at++;
        if (peek() == ']') {
            at++;
            return list;
        }
        do {
            list.add(value(depth + 1));
        } while (another(']'));
        return list;
    }

    /** Whether a comma follows; else the closing sign must. */
    private boolean another(char close) throws Malformed {
        int c = peek();
        if (c != ',' && c != close) {
            throw bad("',' or '" + close + "' is missing");
        }
        at++;
        return c == ',';
    }

    private void expect(char c) throws Malformed {
        if (peek() != c) {
            throw bad("'" + c + "' is missing");
        }
        at++;
    }

    private Object word(String word, Object value) throws Malformed {
        for (int i = 0; i < word.length(); i++) {
            if (at + i >= end || text[at + i] != word.charAt(i)) {
                throw bad("an unknown word");
            }
        }
        at += word.length();
        return value;
    }

    private Object number() throws Malformed {
        int from = at;
        boolean whole = true;
        while (at < end && "+-.0123456789eE".indexOf(text[at]) >= 0) {
            whole &= text[at] != '.' && text[at] != 'e' && text[at] != 'E';
            at++;
        }
        String digits = new String(text, from, at - from, StandardCharsets.ISO_8859_1);
        if (!isNumber(digits)) {
            throw bad("not a value");
        }
        if (whole && digits.length() <= 18) {
            return Long.parseLong(digits);
        }
        return Double.parseDouble(digits);
    }

    /** {@code -?(0|[1-9][0-9]*)(\.[0-9]+)?([eE][+-]?[0-9]+)?}, without the pattern that each start would make. */
    static boolean isNumber(String s) {
        int from = s.startsWith("-") ? 1 : 0;
        int i = pastDigits(s, from);
        if (i == from || (i > from + 1 && s.charAt(from) == '0')) {
            return false;
        }
        if (i < s.length() && s.charAt(i) == '.') {
            from = i + 1;
            i = pastDigits(s, from);
            if (i == from) {
                return false;
            }
        }
        if (i < s.length() && (s.charAt(i) == 'e' || s.charAt(i) == 'E')) {
            from = i + (i + 1 < s.length() && (s.charAt(i + 1) == '+' || s.charAt(i + 1) == '-') ? 2 : 1);
            i = pastDigits(s, from);
            if (i == from) {
                return false;
            }
        }
        return i == s.length();
    }

    private static int pastDigits(String s, int from) {
        int i = from;
        while (i < s.length() && s.charAt(i) >= '0' && s.charAt(i) <= '9') {
            i++;
        }
        return i;
    }

    private String string() throws Malformed {
        int from = ++at;
        while (at < end && text[at] != '"' && text[at] != '\\' && (text[at] & 0xff) >= ' ') {
            at++;
        }
        if (at < end && text[at] == '"') {
            return new String(text, from, at++ - from, StandardCharsets.UTF_8);
        }
        var made = new java.io.ByteArrayOutputStream();
        made.write(text, from, at - from);
        while (true) {
            if (at >= end || (text[at] & 0xff) < ' ') {
                throw bad("a text is not closed");
            }
            byte c = text[at++];
            if (c == '"') {
                return made.toString(StandardCharsets.UTF_8);
            }
            if (c == '\\') {
                made.writeBytes(escaped().getBytes(StandardCharsets.UTF_8));
            } else {
                made.write(c);
            }
        }
    }

    private String escaped() throws Malformed {
        int c = at < end ? text[at++] : -1;
        int plain = "\"\\/bfnrt".indexOf(c);
        if (plain >= 0 && c >= 0) {
            return "\"\\/\b\f\n\r\t".substring(plain, plain + 1);
        }
        if (c != 'u') {
            throw bad("an unknown escape");
        }
        char unit = unit();
        if (Character.isHighSurrogate(unit) && at + 1 < end && text[at] == '\\' && text[at + 1] == 'u') {
            at += 2;
            return new String(new char[] {unit, unit()});
        }
        return String.valueOf(unit);
    }

    private char unit() throws Malformed {
        int unit = 0;
        for (int i = 0; i < 4; i++) {
            int digit = at < end ? Character.digit(text[at++], 16) : -1;
            if (digit < 0) {
                throw bad("an escape is cut short");
            }
            unit = unit << 4 | digit;
        }
        return (char) unit;
    }

    /** The next byte that is not white space, or -1 at the end. */
    private int peek() {
        while (at < end && (text[at] == ' ' || text[at] == '\n' || text[at] == '\r' || text[at] == '\t')) {
            at++;
        }
        return at < end ? text[at] & 0xff : -1;
    }

    private Malformed bad(String what) {
        return new Malformed("JSON: " + what + " at byte " + at);
    }
}
