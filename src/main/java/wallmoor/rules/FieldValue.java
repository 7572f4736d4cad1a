package wallmoor.rules;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/** Value of a field of a rule's body. */
public sealed interface FieldValue {
    /** A finite number. */
    record Amount(double value) implements FieldValue {}

    /** True or false. */
    record Flag(boolean value) implements FieldValue {}

    /** A text; of two that differ, neither is more restrictive. */
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

    /** Returns a parsed JSON value as a field's, or null where it is of no such type. */
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
