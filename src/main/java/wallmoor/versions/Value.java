package wallmoor.versions;

import java.util.Collection;
import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;

/** What a field of a body holds. */
public sealed interface Value {
    /** A number: finite. */
    record Amount(double value) implements Value {}

    /** Yes or no. */
    record Flag(boolean value) implements Value {}

    /** A text; of two that differ neither is more careful. */
    record Text(String value) implements Value {}

    /** Names without an order. */
    record Names(SortedSet<String> value) implements Value {
        /** Keeps a copy that nobody changes. */
        public Names {
            value = Collections.unmodifiableSortedSet(new TreeSet<>(value));
        }

        static Names of(Collection<String> names) {
            return new Names(new TreeSet<>(names));
        }
    }
}
