package wallmoor.rules;

import java.util.Locale;
import wallmoor.rules.FieldValue.Amount;

/**
 * Schema of a field of a document's body.
 *
 * @param path    name of the field; a trailing {@code *} matches any name, such as that of a node, block or tenant
 * @param merge   which of two values is the more restrictive
 * @param missing meaning of a body without the field
 * @param minimum smallest allowed number
 * @param maximum largest allowed number
 */
public record FieldSchema(String path, RestrictiveMerge merge, MissingFieldMeaning missing, double minimum,
        double maximum) {
    private static final double MAX_NUMBER = 1e15;

    /** The meaning of a body without the field. */
    public enum MissingFieldMeaning {
        /** Nothing is permitted: the most restrictive meaning. */
        NOTHING,
        /** Nothing is restricted: the most permissive meaning. */
        UNBOUND
    }

    /**
     * Checks that a missing field without an order permits nothing, as merging would not be associative otherwise.
     *
     * @throws IllegalArgumentException if it is unbound
     */
    public FieldSchema {
        if (merge == RestrictiveMerge.NEITHER && missing != MissingFieldMeaning.NOTHING) {
            throw new IllegalArgumentException(
                    path + ": a field merged by " + merge + " must have NOTHING as the meaning of a missing field, not "
                            + missing);
        }
    }

    /** Returns the schema of a field that is not a number. */
    static FieldSchema of(String path, RestrictiveMerge merge, MissingFieldMeaning missing) {
        return new FieldSchema(path, merge, missing, 0, MAX_NUMBER);
    }

    /** Returns whether this schema applies to the field of a body with this name. */
    boolean matches(String name) {
        if (!path.endsWith("*")) {
            return path.equals(name);
        }
        int prefix = path.length() - 1;
        return name.length() > prefix && name.startsWith(path.substring(0, prefix));
    }

    /** Returns the error of a value, or null. Voters put it into the verdicts that are stored in the log. */
    String violation(FieldValue value) {
        if (!merge.valueType.isInstance(value)) {
            return "is not of type " + merge.valueType.getSimpleName().toLowerCase(Locale.ROOT);
        }
        return value instanceof Amount a && !(a.value() >= minimum && a.value() <= maximum)
                ? "is " + a.value() + ", which is not from " + minimum + " to " + maximum : null;
    }

    /** Returns the more restrictive of two values; null means that the field is missing. */
    FieldValue meet(FieldValue a, FieldValue b) {
        if (a == null || b == null) {
            return missing == MissingFieldMeaning.NOTHING ? null : a == null ? b : a;
        }
        return merge.meet(a, b);
    }
}
