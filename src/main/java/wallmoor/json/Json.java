package wallmoor.json;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A small JSON reader without dependencies. It reads a slice of a buffer in one pass into {@link Obj objects}, lists,
 * strings, numbers ({@link Long} or {@link Double}), booleans and null. An object knows its byte range, so that it can
 * be forwarded unchanged. A tree takes many times the memory of its text: what an unknown client sends is read with a
 * {@link JsonCursor} instead.
 */
public final class Json {
    private Json() {}

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
        var cursor = new JsonCursor(buffer, from, length);
        Object value = value(cursor);
        cursor.expectEnd();
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

    private static Object value(JsonCursor cursor) throws Malformed {
        if (cursor.isAtObject()) {
            return object(cursor);
        }
        return cursor.isAtList() ? list(cursor) : cursor.readScalar();
    }

    private static Obj object(JsonCursor cursor) throws Malformed {
        var object = new Obj();
        object.start = cursor.position();
        for (boolean more = cursor.enterObject(); more; more = cursor.nextMember()) {
            String name = cursor.readMemberName();
            int from = cursor.position();
            object.members.put(name, value(cursor));
            object.memberRanges.put(name, new int[] {from, cursor.position()});
        }
        object.end = cursor.position();
        return object;
    }

    private static List<Object> list(JsonCursor cursor) throws Malformed {
        var list = new ArrayList<Object>();
        for (boolean more = cursor.enterList(); more; more = cursor.nextElement()) {
            list.add(value(cursor));
        }
        return list;
    }
}
