package wallmoor.rules;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/** Value of a field in a document's body. */
public sealed interface FieldValue {
    /** A finite number. */
    record Amount(double value) implements FieldValue {}

    /** A boolean. */
    record Flag(boolean value) implements FieldValue {}

    /** A text. Of two different texts, neither is more restrictive. */
    record Text(String value) implements FieldValue {}

    /** A set of names. */
    record Names(SortedSet<String> value) implements FieldValue {
        /** Copies the set. */
        public Names {
            value = Collections.unmodifiableSortedSet(new TreeSet<>(value));
        }

        static Names of(Collection<String> names) {
            return new Names(new TreeSet<>(names));
        }
    }

    /** Converts a parsed JSON value. Returns null if it is not of one of the types above. */
    static FieldValue ofJson(Object json) {
        if (json instanceof Number number && Double.isFinite(number.doubleValue())) {
            return new Amount(number.doubleValue());
        } else if (json instanceof Boolean flag) {
            return new Flag(flag);
        } else if (json instanceof String text) {
            return new Text(text);
        }
        return json instanceof List<?> list ? namesOfJson(list) : null;
    }

    private static Names namesOfJson(List<?> list) {
        var names = new ArrayList<String>();
        for (Object element : list) {
            if (!(element instanceof String name)) {
                return null;
            }
            names.add(name);
        }
        return Names.of(names);
    }
}
