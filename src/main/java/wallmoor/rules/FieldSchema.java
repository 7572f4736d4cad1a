package wallmoor.rules;

import java.util.Locale;
import wallmoor.rules.FieldValue.Amount;

/**
 * A field that bodies of a schema may have.
 *
 * @param path    its name; a last part of {@code *} stands for any one name, such as a node's, a block's or a tenant's
 * @param merge   which of two values is the more restrictive
 * @param missing what it means where a body lacks the field
 * @param minimum of numbers
 * @param maximum of numbers
 */
public record FieldSchema(String path, RestrictiveMerge merge, MissingFieldMeaning missing, double minimum,
        double maximum) {
    private static final double MAX_NUMBER = 1e15;

    /** What it means that a body lacks a field. */
    public enum MissingFieldMeaning {
        /** Nothing is permitted: the most restrictive meaning. */
        NOTHING,
        /** Nothing is restricted: the most permissive meaning. */
        UNBOUND
    }

    /** Checks that a field without an order permits nothing where it is missing: else merging is not associative. */
    public FieldSchema {
        if (merge == RestrictiveMerge.NEITHER && missing != MissingFieldMeaning.NOTHING) {
            throw new IllegalArgumentException(
                    path + ": of what is neither way careful nothing is given where it is missing");
        }
    }

    /** Returns a field that is no number. */
    static FieldSchema of(String path, RestrictiveMerge merge, MissingFieldMeaning missing) {
        return new FieldSchema(path, merge, missing, 0, MAX_NUMBER);
    }

    /** Returns whether a name in a body is this field's. */
    boolean matches(String name) {
        if (!path.endsWith("*")) {
            return path.equals(name);
        }
        int prefix = path.length() - 1;
        return name.length() > prefix && name.startsWith(path.substring(0, prefix));
    }

    /** Returns what is wrong with a value, or null. The type's name is part of verdicts in the log. */
    String violation(FieldValue value) {
        if (!merge.valueType.isInstance(value)) {
            return "is no " + merge.valueType.getSimpleName().toLowerCase(Locale.ROOT);
        }
        return value instanceof Amount a && !(a.value() >= minimum && a.value() <= maximum)
                ? "is " + a.value() + ", not from " + minimum + " to " + maximum : null;
    }

    /** Returns the more restrictive of two values; null stands for a missing field. */
    FieldValue meet(FieldValue a, FieldValue b) {
        if (a == null || b == null) {
            return missing == MissingFieldMeaning.NOTHING ? null : a == null ? b : a;
        }
        return merge.meet(a, b);
    }
}
