package wallmoor.rules;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/** What a field of a body holds. */
public sealed interface FieldValue {
    /** A number: finite. */
    record Amount(double value) implements FieldValue {}

    /** Yes or no. */
    record Flag(boolean value) implements FieldValue {}

    /** A text; of two that differ neither is more careful. */
    record Text(String value) implements FieldValue {}

    /** Names without an order. */
    record Names(SortedSet<String> value) implements FieldValue {
        /** Keeps a copy that nobody changes. */
        public Names {
            value = Collections.unmodifiableSortedSet(new TreeSet<>(value));
        }

        static Names of(Collection<String> names) {
            return new Names(new TreeSet<>(names));
        }
    }
}
